package org.fescuehook.page;

import java.io.File;
import java.nio.file.Path;
import org.approvaltests.core.Options;
import org.approvaltests.namer.ApprovalNamer;
import org.approvaltests.reporters.QuietReporter;

/**
 * Uses a page under docs/ as the approved file, so that a test fails when the page is outdated.
 *
 * @param page path of the page relative to docs/, without extension
 */
public record PageNamer(String page) implements ApprovalNamer {

  /** Returns options that compare a text with the Markdown page. */
  public static Options page(String page) {
    return new Options(QuietReporter.INSTANCE)
        .forFile()
        .withNamer(new PageNamer(page))
        .forFile()
        .withExtension(".md");
  }

  @Override
  public File getApprovedFile(String extensionWithDot) {
    return file(extensionWithDot);
  }

  @Override
  public File getReceivedFile(String extensionWithDot) {
    return file(".received" + extensionWithDot);
  }

  @Override
  public ApprovalNamer addAdditionalInformation(String info) {
    return this;
  }

  @Override
  public String getAdditionalInformation() {
    return "";
  }

  @Override
  public String getApprovalName() {
    return page;
  }

  @Override
  public String getSourceFilePath() {
    return docs() + File.separator;
  }

  private File file(String extension) {
    return docs().resolve(page + extension).toFile();
  }

  private static Path docs() {
    return Path.of(System.getProperty("basedir", "."), "../docs");
  }
}
