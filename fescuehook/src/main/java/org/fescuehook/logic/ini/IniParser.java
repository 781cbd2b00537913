package org.fescuehook.logic.ini;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * Parses INI files in UTF-8 with the INI library. Keys and values are separated by {@code =}, and
 * comments begin with {@code #} or {@code ;}. Values are taken literally, without interpolation.
 */
public final class IniParser {

  private static final String SEPARATOR = "=";
  private static final String COMMENT_MARKS = "#;";

  /** Parses files that together form one document; a section may occur in only one of them. */
  public IniDocument parse(List<IniSource> sources) {
    List<IniSection> sections = new ArrayList<>();
    List<Fault> faults = new ArrayList<>();
    Map<String, SourceLocation> seen = new HashMap<>();
    boolean complete = true;
    for (IniSource source : sources) {
      try {
        sections.addAll(parseFile(source, seen, faults));
      } catch (FaultyInputException e) {
        faults.addAll(e.faults());
        complete = false;
      }
    }
    List<String> files = sources.stream().map(IniSource::file).toList();
    return new IniDocument(files, complete, sections, faults);
  }

  private static List<IniSection> parseFile(
      IniSource source, Map<String, SourceLocation> seen, List<Fault> faults)
      throws FaultyInputException {
    String text = new Utf8Decoder().decode(source);
    LineScanner scan = new LineScanner(source.file(), text);
    faults.addAll(scan.faults());
    Map<String, ImmutableNode> nodes = new HashMap<>();
    for (ImmutableNode node : load(source.file(), text).getChildren()) {
      nodes.put(node.getNodeName(), node);
    }
    List<IniSection> sections = new ArrayList<>();
    for (LineScanner.Header header : scan.headers()) {
      String name = header.location().section();
      SourceLocation first = seen.putIfAbsent(name, header.location());
      if (first != null) {
        faults.add(repeatedSection(header.location(), first));
        continue;
      }
      List<IniEntry> entries = entries(Optional.ofNullable(nodes.get(name)), header.keys(), faults);
      sections.add(new IniSection(header.location(), entries));
    }
    return sections;
  }

  private static ImmutableNode load(String file, String text) throws FaultyInputException {
    INIConfiguration configuration = new INIConfiguration();
    configuration.setSeparatorUsedInInput(SEPARATOR);
    configuration.setCommentLeadingCharsUsedInInput(COMMENT_MARKS);
    try {
      configuration.read(new StringReader(text));
    } catch (ConfigurationException | IOException e) {
      String problem = "cannot be parsed: " + e.getMessage();
      throw new FaultyInputException(
          List.of(new Fault(SourceLocation.ofFile(file), "", problem, "INI text")));
    }
    return configuration.getNodeModel().getInMemoryRepresentation();
  }

  private static List<IniEntry> entries(
      Optional<ImmutableNode> node, List<SourceLocation> keys, List<Fault> faults) {
    List<IniEntry> entries = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (SourceLocation key : keys) {
      if (!seen.add(key.key())) {
        faults.add(new Fault(key, "", "is given twice in this section", "one value for each key"));
        continue;
      }
      Optional<String> value = node.flatMap(section -> value(section, key.key()));
      if (value.isEmpty()) {
        faults.add(new Fault(key, "", "cannot be read", "a plain key = value"));
        continue;
      }
      entries.add(new IniEntry(key, value.get()));
    }
    return entries;
  }

  private static Optional<String> value(ImmutableNode section, String key) {
    for (ImmutableNode child : section.getChildren()) {
      if (child.getNodeName().equals(key)) {
        return Optional.of(String.valueOf(child.getValue()));
      }
    }
    return Optional.empty();
  }

  private static Fault repeatedSection(SourceLocation header, SourceLocation first) {
    String problem = "section is given twice; the first is at " + first.file() + ":" + first.line();
    return new Fault(header, "", problem, "each section once");
  }
}
