package io.lentilstream.control.term;

import java.util.Optional;

import io.lentilstream.model.Identifiers;
import io.lentilstream.model.JobId;

/**
 * The keys of the items in the store that belong to jobs.
 */
public final class JobKeys {

	/** Prefix of submissions and cancellations. */
	public static final String INTAKE = "lentilstream/in/";

	/** Prefix of submissions. */
	public static final String SUBMISSIONS = INTAKE + "job/";

	/** Prefix of cancellations. */
	public static final String CANCELLATIONS = INTAKE + "cancel/";

	/** Prefix of the progress of jobs. */
	public static final String PROGRESS = "lentilstream/progress/";

	/** Key of the list of VMs to which the leader may have sent commands. */
	public static final String WORKERS = "lentilstream/workers";

	/** Prefix of what a leader has learned and hands over to its successor. */
	public static final String KNOWLEDGE = "lentilstream/learned/";

	/** Key under which earlier versions store the learned interference. */
	public static final String INTERFERENCE = "lentilstream/interference";

	private JobKeys() {
	}

	/**
	 * Returns the key of a submission.
	 * @param id the job
	 * @return the key
	 */
	public static String submission(JobId id) {
		return SUBMISSIONS + id;
	}

	/**
	 * Returns the key of a cancellation.
	 * @param id the job
	 * @return the key
	 */
	public static String cancellation(JobId id) {
		return CANCELLATIONS + id;
	}

	/**
	 * Returns the key of a job's progress.
	 * @param id the job
	 * @return the key
	 */
	public static String progress(JobId id) {
		return PROGRESS + id;
	}

	static String knowledge(String name) {
		return KNOWLEDGE + name;
	}

	static Optional<JobId> parseJobId(String prefix, String key) {
		String id = key.startsWith(prefix) ? key.substring(prefix.length()) : "";
		return Identifiers.isValid(id) ? Optional.of(new JobId(id)) : Optional.empty();
	}

}
