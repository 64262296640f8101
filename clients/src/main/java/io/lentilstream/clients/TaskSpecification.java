package io.lentilstream.clients;

import java.util.Optional;

import io.lentilstream.model.Resources;
import io.lentilstream.model.TaskId;
import io.lentilstream.model.Urgency;

/**
 * Says what a worker has to run.
 *
 * @param task the task
 * @param resources the declared size
 * @param urgency the urgency
 * @param program the name of the program that the worker runs
 * @param checkpoint the checkpoint to resume from, if any
 */
public record TaskSpecification(TaskId task, Resources resources, Urgency urgency, String program,
		Optional<String> checkpoint) {
}
