package io.lentilstream.settings.process;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/**
 * The sections and entries of an INI file in file order, including repeated ones.
 *
 * @param sections the sections
 * @param entries the entries
 * @param repeatedSections the sections that occur more than once
 * @param unreadableLines numbers of the lines that are neither a section nor an entry nor
 * a comment, from 1
 */
record IniEntries(Set<String> sections, List<Entry> entries, Set<String> repeatedSections,
		Set<Integer> unreadableLines) {

	private static final Pattern LINE_NUMBER = Pattern.compile("\\(at line: (\\d+)\\)");

	private static final Pattern SECTION_START = Pattern.compile("\\s*\\[\\s*([A-Za-z][^\\]\\[]*).*");

	/**
	 * Reads a file.
	 * @param file the file
	 * @return the entries
	 * @throws IOException if the file cannot be read
	 */
	static IniEntries read(Path file) throws IOException {
		String[] lines = Files.readString(file, StandardCharsets.UTF_8).split("\n", -1);
		Set<Integer> unreadable = new LinkedHashSet<>();
		// The parser stops at the first line that it cannot parse. Parsing restarts until
		// each such line is repaired or removed, to report all mistakes at once.
		while (true) {
			Collector collector = new Collector();
			try {
				IniParser.newInstance(config()).parse(new StringReader(String.join("\n", lines)), collector);
				return new IniEntries(collector.sections, collector.entries, collector.repeated, unreadable);
			}
			catch (InvalidFileFormatException ex) {
				int number = lineNumber(ex);
				lines[number - 1] = unreadable.add(number) ? repaired(lines[number - 1]) : "";
			}
		}
	}

	private static Config config() {
		Config config = new Config();
		config.setEscape(false);
		config.setEscapeNewline(false);
		config.setEmptyOption(true);
		config.setEmptySection(true);
		config.setGlobalSection(true);
		config.setGlobalSectionName("");
		return config;
	}

	private static int lineNumber(InvalidFileFormatException ex) {
		Matcher matcher = LINE_NUMBER.matcher(String.valueOf(ex.getMessage()));
		if (!matcher.find()) {
			throw new IllegalStateException("the INI parser reported no line number", ex);
		}
		return Integer.parseInt(matcher.group(1));
	}

	// Keeps the name of a section whose line is malformed, so that the keys below it are
	// checked nevertheless.
	private static String repaired(String line) {
		Matcher matcher = SECTION_START.matcher(line);
		return matcher.matches() ? "[" + matcher.group(1).trim() + "]" : "";
	}

	/**
	 * One entry of a file.
	 *
	 * @param section the section
	 * @param key the key
	 * @param value the value, or an empty text if there is none
	 */
	record Entry(String section, String key, String value) {
	}

	/**
	 * Collects the sections and entries that the parser reports.
	 */
	private static final class Collector implements IniHandler {

		private final Set<String> sections = new LinkedHashSet<>();

		private final Set<String> repeated = new LinkedHashSet<>();

		private final List<Entry> entries = new ArrayList<>();

		private String section = "";

		@Override
		public void startSection(String name) {
			this.section = name.trim();
			if (!this.sections.add(this.section)) {
				this.repeated.add(this.section);
			}
		}

		@Override
		public void handleOption(String key, String value) {
			this.entries.add(new Entry(this.section, key.trim(), (value != null) ? value.trim() : ""));
		}

		@Override
		public void handleComment(String comment) {
		}

		@Override
		public void startIni() {
		}

		@Override
		public void endIni() {
		}

		@Override
		public void endSection() {
			this.section = "";
		}

	}

}
