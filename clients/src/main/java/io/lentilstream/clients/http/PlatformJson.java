package io.lentilstream.clients.http;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.TaskSpecification;
import io.lentilstream.clients.VmEntry;
import io.lentilstream.clients.http.PlatformMessages.ReportMessage;
import io.lentilstream.clients.http.PlatformMessages.ResourcesMessage;
import io.lentilstream.clients.http.PlatformMessages.StoredMessage;
import io.lentilstream.clients.http.PlatformMessages.TaskMessage;
import io.lentilstream.clients.http.PlatformMessages.VmMessage;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TaskId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.model.VmId;

/**
 * Converts between JSON, messages and value types.
 */
public final class PlatformJson {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private PlatformJson() {
	}

	/**
	 * Writes a message.
	 * @param message the message
	 * @return the JSON text in UTF-8
	 */
	public static byte[] write(Object message) {
		try {
			return MAPPER.writeValueAsBytes(message);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("message cannot be written as JSON", ex);
		}
	}

	/**
	 * Reads a message.
	 * @param <T> the type of the message
	 * @param json the JSON text in UTF-8
	 * @param type the type of the message
	 * @return the message, or empty if the text is no such message
	 */
	public static <T> Optional<T> read(byte[] json, Class<T> type) {
		try {
			return Optional.ofNullable(MAPPER.readValue(json, type));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	static StoredValue storedValue(StoredMessage message) {
		return new StoredValue(new StoreKey(message.key()), message.value(), message.version());
	}

	/**
	 * Converts resources to a message.
	 * @param resources the resources
	 * @return the message
	 */
	public static ResourcesMessage message(Resources resources) {
		return new ResourcesMessage(resources.milliCores(), resources.memoryMegabytes(), resources.accelerators());
	}

	/**
	 * Converts a message to resources.
	 * @param message the message
	 * @return the resources
	 */
	public static Resources resources(ResourcesMessage message) {
		return new Resources(message.milliCores(), message.memoryMegabytes(), message.accelerators());
	}

	static TaskMessage message(TaskSpecification task) {
		return new TaskMessage(task.task().value(), message(task.resources()), task.urgency().name(), task.program(),
				task.checkpoint().orElse(null));
	}

	/**
	 * Converts a message to what a worker has to run.
	 * @param message the message
	 * @return what to run
	 */
	public static TaskSpecification specification(TaskMessage message) {
		return new TaskSpecification(new TaskId(message.task()), resources(message.resources()),
				Urgency.valueOf(message.urgency()), message.program(), Optional.ofNullable(message.checkpoint()));
	}

	/**
	 * Converts a report to a message.
	 * @param report the report
	 * @return the message
	 */
	public static ReportMessage message(TaskReport report) {
		return new ReportMessage(report.task().value(), report.state(), report.epoch().value(),
				message(report.declared()), message(report.used()), report.slowdown(), report.checkpoint().orElse(null),
				report.failure().orElse(null));
	}

	static TaskReport report(ReportMessage message) {
		return new TaskReport(new TaskId(message.task()), message.state(), new Epoch(message.epoch()),
				resources(message.declared()), resources(message.used()), message.slowdown(),
				Optional.ofNullable(message.checkpoint()), Optional.ofNullable(message.failure()));
	}

	/**
	 * Converts an entry of the list of VMs to a message.
	 * @param entry the entry
	 * @return the message
	 */
	public static VmMessage message(VmEntry entry) {
		return new VmMessage(entry.vm().value(), entry.role(), entry.status(), entry.zone().value(),
				entry.rack().value(), entry.address(), message(entry.capacity()),
				entry.team().map(TeamId::value).orElse(null), entry.service().map(ServiceName::value).orElse(null),
				entry.slots(), entry.connections());
	}

	static VmEntry entry(VmMessage message) {
		return new VmEntry(new VmId(message.vm()), message.role(), message.status(),
				new AvailabilityZoneId(message.zone()), new RackId(message.rack()), message.address(),
				resources(message.capacity()), Optional.ofNullable(message.team()).map(TeamId::new),
				Optional.ofNullable(message.service()).map(ServiceName::new), message.slots(), message.connections());
	}

}
