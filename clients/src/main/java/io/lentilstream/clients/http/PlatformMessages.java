package io.lentilstream.clients.http;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.VmEntry;

/**
 * Holds the JSON messages between the HTTP clients and the platform. Bytes are base64; a
 * value that does not exist is {@code null}.
 */
public final class PlatformMessages {

	/**
	 * Header with the correlation id of a request and of its answer.
	 */
	public static final String REQUEST_ID = "Lentilstream-Request-Id";

	/**
	 * Header of a guard's refusal: {@value #REFUSED_FULL}, {@value #REFUSED_LEAVING} or
	 * {@value #REFUSED_SEALED}.
	 */
	public static final String REFUSED = "Lentilstream-Refused";

	/**
	 * Refusal of an endpoint without a free slot or connection.
	 */
	public static final String REFUSED_FULL = "full";

	/**
	 * Refusal of an endpoint that is leaving.
	 */
	public static final String REFUSED_LEAVING = "leaving";

	/**
	 * Refusal of an attempt that was sealed.
	 */
	public static final String REFUSED_SEALED = "sealed";

	/**
	 * Header with the idempotency key of a request.
	 */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * Header with the milliseconds that an endpoint has for an answer.
	 */
	public static final String TIMEOUT_MILLIS = "Lentilstream-Timeout-Ms";

	/**
	 * Header with the id of a client of the store.
	 */
	public static final String CLIENT_ID = "Lentilstream-Client";

	private PlatformMessages() {
	}

	/**
	 * Is one value of the store.
	 *
	 * @param key the key
	 * @param value the bytes
	 * @param version the version
	 */
	public record StoredMessage(String key, byte[] value, long version) {
	}

	/**
	 * Is the answer to a read.
	 *
	 * @param value the value, or {@code null} if the key does not exist
	 */
	public record ReadAnswer(@JsonProperty(required = true) StoredMessage value) {
	}

	/**
	 * Is the answer to a list.
	 *
	 * @param values the values in the order of their keys
	 * @param revision the revision of the store
	 */
	public record ListAnswer(@JsonProperty(required = true) List<StoredMessage> values,
			@JsonProperty(required = true) long revision) {
	}

	/**
	 * Is a compare-and-swap.
	 *
	 * @param key the key
	 * @param value the new bytes, or {@code null} to delete the key
	 * @param expectedVersion the version that the key must have
	 * @param lease the number of the lease, or {@code null}
	 */
	public record WriteMessage(String key, byte[] value, long expectedVersion, Long lease) {
	}

	/**
	 * Is the answer to a write that took effect.
	 *
	 * @param version the new version
	 */
	public record WrittenAnswer(@JsonProperty(required = true) long version) {
	}

	/**
	 * Is the answer to a write that found another version.
	 *
	 * @param current the current value, or {@code null}
	 */
	public record ConflictAnswer(@JsonProperty(required = true) StoredMessage current) {
	}

	/**
	 * Is the answer to a call that changed nothing.
	 *
	 * @param applied {@code false} if the call surely changed nothing
	 * @param reason a short reason
	 */
	public record ErrorAnswer(@JsonProperty(required = true) boolean applied, String reason) {
	}

	/**
	 * Asks for a new lease.
	 *
	 * @param ttlMillis milliseconds that the lease lasts without renewal
	 */
	public record LeaseMessage(long ttlMillis) {
	}

	/**
	 * Is the answer to a lease call.
	 *
	 * @param lease the number of the lease
	 */
	public record LeaseAnswer(@JsonProperty(required = true) long lease) {
	}

	/**
	 * Is the answer to a watch.
	 *
	 * @param changed the new values
	 * @param deleted the deleted keys
	 * @param revision the revision to continue from
	 */
	public record WatchAnswer(@JsonProperty(required = true) List<StoredMessage> changed,
			@JsonProperty(required = true) List<String> deleted, @JsonProperty(required = true) long revision) {
	}

	/**
	 * Is an amount of resources.
	 *
	 * @param milliCores thousandths of a core
	 * @param memoryMegabytes megabytes of memory
	 * @param accelerators whole accelerators
	 */
	public record ResourcesMessage(long milliCores, long memoryMegabytes, long accelerators) {
	}

	/**
	 * Says what a worker has to run.
	 *
	 * @param task the task
	 * @param resources the declared size
	 * @param urgency the name of the urgency
	 * @param program the program
	 * @param checkpoint the checkpoint to resume from, or {@code null}
	 */
	public record TaskMessage(String task, ResourcesMessage resources, String urgency, String program,
			String checkpoint) {
	}

	/**
	 * Is a command to a worker; parts that a command does not need are {@code null}.
	 *
	 * @param scope the scope of the shard
	 * @param shard the index of the shard
	 * @param epoch the epoch of the sender
	 * @param start the task to start
	 * @param tasks the tasks that the command names
	 * @param share the share of processor time
	 * @param leaseMillis milliseconds that tasks may run without renewal
	 * @param notAfterMillis the end of the lease on the wall clock of the sender, in
	 * milliseconds since 1970 UTC; a worker ends the lease then at the latest, and
	 * refuses a command that arrives later
	 */
	public record WorkerCommand(String scope, int shard, long epoch, TaskMessage start, List<String> tasks,
			Double share, Long leaseMillis, Long notAfterMillis) {
	}

	/**
	 * Is the report of a task.
	 *
	 * @param task the task
	 * @param state the state
	 * @param epoch the epoch of the start command
	 * @param declared the declared size
	 * @param used the measured use
	 * @param slowdown the slowdown; 1 is undisturbed
	 * @param checkpoint the last complete checkpoint, or {@code null}
	 * @param failure the reason of a failure, or {@code null}
	 */
	public record ReportMessage(String task, TaskReport.State state, long epoch, ResourcesMessage declared,
			ResourcesMessage used, double slowdown, String checkpoint, String failure) {
	}

	/**
	 * Is the answer to a command that was carried out.
	 *
	 * @param reports the reports
	 */
	public record ReportsAnswer(@JsonProperty(required = true) List<ReportMessage> reports) {
	}

	/**
	 * Is the answer to a command of a lower epoch.
	 *
	 * @param highest the highest epoch that the worker has seen
	 */
	public record FencedAnswer(@JsonProperty(required = true) long highest) {
	}

	/**
	 * Is what an endpoint knows about an idempotency key.
	 *
	 * @param key the key
	 * @param state {@code ran}, {@code running}, {@code unseen} or {@code sealed}
	 * @param status the HTTP status of the answer, if it ran
	 * @param contentType the media type of the answer, if it ran
	 * @param body the body of the answer, if it ran
	 */
	public record KeyAnswer(@JsonProperty(required = true) String key, @JsonProperty(required = true) String state,
			int status, String contentType, byte[] body) {
	}

	/**
	 * Is the number of requests that an endpoint runs.
	 *
	 * @param inFlight the number
	 */
	public record InFlightAnswer(@JsonProperty(required = true) int inFlight) {
	}

	/**
	 * Is one entry of the list of VMs.
	 *
	 * @param vm the VM
	 * @param role the role
	 * @param status the status
	 * @param zone the availability zone
	 * @param rack the rack
	 * @param address host and port
	 * @param capacity what the VM holds
	 * @param team the team of an endpoint, or {@code null}
	 * @param service the service of an endpoint, or {@code null}
	 * @param slots the slots of an endpoint
	 * @param connections the connections of an endpoint
	 */
	public record VmMessage(String vm, VmEntry.Role role, VmEntry.Status status, String zone, String rack,
			String address, ResourcesMessage capacity, String team, String service, int slots, int connections) {
	}

	/**
	 * Is the list of VMs of a zone.
	 *
	 * @param vms the entries
	 */
	public record VmsAnswer(@JsonProperty(required = true) List<VmMessage> vms) {
	}

}
