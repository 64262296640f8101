package io.lentilstream.cli.demo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The number of checks and violations of one property. Keeps the first few violations as
 * examples for the report.
 */
final class PropertyCheck {

	private static final int MAX_EXAMPLES = 3;

	private final String name;

	private final List<String> examples = Collections.synchronizedList(new ArrayList<>());

	private long checked;

	private long violations;

	PropertyCheck(String name) {
		this.name = name;
	}

	synchronized void check(boolean holds, String violation) {
		this.checked++;
		if (!holds) {
			this.violations++;
			if (this.examples.size() < MAX_EXAMPLES) {
				this.examples.add(violation);
			}
		}
	}

	String name() {
		return this.name;
	}

	synchronized long checked() {
		return this.checked;
	}

	synchronized long violations() {
		return this.violations;
	}

	/**
	 * Returns whether the property was checked at least once and never violated.
	 * @return {@code true} if the property holds
	 */
	synchronized boolean holds() {
		return this.checked > 0 && this.violations == 0;
	}

	List<String> examples() {
		return List.copyOf(this.examples);
	}

}
