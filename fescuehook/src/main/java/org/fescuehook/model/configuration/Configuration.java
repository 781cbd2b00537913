package org.fescuehook.model.configuration;

/**
 * An accepted configuration.
 *
 * @param revision offset of the record that published it; higher is newer
 * @param baseRevision revision it was based on
 * @param author who published it
 * @param reason reason for the publication, as stated by the author
 * @param text the declarations as published, INI
 * @param declarations the declarations as parsed
 */
public record Configuration(
    long revision,
    long baseRevision,
    String author,
    String reason,
    String text,
    Declarations declarations) {

  /** Revision of the empty configuration before the first publication. */
  public static final long NO_REVISION = -1;
}
