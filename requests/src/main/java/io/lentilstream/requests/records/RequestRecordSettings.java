package io.lentilstream.requests.records;

import java.time.Duration;

/**
 * Limits of the records of one request shard.
 *
 * @param maxRecords maximum number of records
 * @param maxStoredBytes total size of bodies and answers above which no request is
 * accepted; answers of attempts in flight may exceed it
 * @param maxBodyBytes maximum size of a request body
 * @param maxAnswerBytes maximum size of a recorded answer; like the body limit, it must
 * be below the maximum commit size of the shard log
 * @param retryInterval delay before a lookup, a seal or a rejected log entry is retried
 * @param noReplyTimeout how long an endpoint may fail to reply before the outcome is
 * recorded as unknown
 * @param notRunRetention retention of the record of a request that expired before it ran
 * @param retryAfterMillis retry delay suggested to a refused caller, in milliseconds
 */
public record RequestRecordSettings(int maxRecords, long maxStoredBytes, int maxBodyBytes, int maxAnswerBytes,
		Duration retryInterval, Duration noReplyTimeout, Duration notRunRetention, long retryAfterMillis) {

	/**
	 * Returns the default limits. A commit of the shard log is limited to 256 KiB, and an
	 * accepted entry contains the request body.
	 * @return the defaults
	 */
	public static RequestRecordSettings defaults() {
		return new RequestRecordSettings(20_000, 48L * 1024 * 1024, 192 * 1024, 192 * 1024, Duration.ofSeconds(1),
				Duration.ofSeconds(60), Duration.ofMinutes(10), 2_000);
	}

}
