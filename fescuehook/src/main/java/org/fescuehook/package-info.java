/** Root package of the scheduler: model below logic below net below the programs. */
package org.fescuehook;
