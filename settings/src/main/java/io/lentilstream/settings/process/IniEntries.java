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

import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/**
 * Holds the sections and entries of an INI file in their order, with repetitions.
 *
 * @param sections the sections
 * @param entries the entries
 * @param repeatedSections the sections that start more than once
 */
record IniEntries(Set<String> sections, List<Entry> entries, Set<String> repeatedSections) {

	/**
	 * Reads a file.
	 * @param file the file
	 * @return the entries
	 * @throws InvalidFileFormatException if a line is neither a section nor an entry
	 * @throws IOException if the file cannot be read
	 */
	static IniEntries read(Path file) throws IOException {
		Config config = new Config();
		config.setEscape(false);
		config.setEmptyOption(true);
		config.setEmptySection(true);
		config.setGlobalSection(true);
		config.setGlobalSectionName("");
		Collector collector = new Collector();
		String text = Files.readString(file, StandardCharsets.UTF_8);
		IniParser.newInstance(config).parse(new StringReader(text), collector);
		return new IniEntries(collector.sections, collector.entries, collector.repeated);
	}

	/**
	 * Is one entry of a file.
	 *
	 * @param section the section
	 * @param key the key
	 * @param value the text
	 */
	record Entry(String section, String key, String value) {
	}

	/**
	 * Collects what the parser finds.
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
