package io.lentilstream.cli.demo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Counts how often one property was checked and how often it was broken.
 */
final class PropertyCheck {

	private static final int MOST_EXAMPLES = 3;

	private final String name;

	private final List<String> examples = Collections.synchronizedList(new ArrayList<>());

	private long checked;

	private long violations;

	PropertyCheck(String name) {
		this.name = name;
	}

	synchronized void check(boolean holds, String what) {
		this.checked++;
		if (!holds) {
			this.violations++;
			if (this.examples.size() < MOST_EXAMPLES) {
				this.examples.add(what);
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
	 * Tells whether the property was checked at all and never broken.
	 * @return {@code true} if it holds
	 */
	synchronized boolean holds() {
		return this.checked > 0 && this.violations == 0;
	}

	List<String> examples() {
		return List.copyOf(this.examples);
	}

}
