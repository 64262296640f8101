package io.lentilstream.requests.records;

import java.time.Duration;

/**
 * Holds the limits of the records of one request shard.
 *
 * @param maxRecords largest number of records
 * @param maxStoredBytes bytes of bodies and answers above which nothing is accepted;
 * answers of attempts in flight may exceed it
 * @param maxBodyBytes largest request body
 * @param maxAnswerBytes largest answer that is recorded; with the body limit it must stay
 * below the largest commit of the shard log
 * @param retryInterval time before a lookup, seal or refused entry is tried again
 * @param giveUpAfter how long an endpoint may not answer before the outcome is unknown
 * @param notRunKeep how long a record that expired before it ran is kept as not run
 * @param retryAfterMillis milliseconds that a refused caller is told to wait
 */
public record RequestRecordSettings(int maxRecords, long maxStoredBytes, int maxBodyBytes, int maxAnswerBytes,
		Duration retryInterval, Duration giveUpAfter, Duration notRunKeep, long retryAfterMillis) {

	/**
	 * Returns the default limits. A commit of the shard log holds 256 KiB, and an
	 * accepted entry carries the body.
	 * @return the defaults
	 */
	public static RequestRecordSettings defaults() {
		return new RequestRecordSettings(20_000, 48L * 1024 * 1024, 192 * 1024, 192 * 1024, Duration.ofSeconds(1),
				Duration.ofSeconds(60), Duration.ofMinutes(10), 2_000);
	}

}
