package io.lentilstream.tasks;

import java.util.Objects;

import io.lentilstream.model.Resources;

/**
 * A declaration of one or more identical tasks of a job.
 *
 * @param declared the declared size of each task
 * @param program the name of the program that the worker runs
 * @param count the number of tasks; at least 1
 */
public record TaskDeclaration(Resources declared, String program, int count) {

	public TaskDeclaration {
		Objects.requireNonNull(declared);
		Objects.requireNonNull(program);
	}

}
