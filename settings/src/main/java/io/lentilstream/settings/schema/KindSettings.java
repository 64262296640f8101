package io.lentilstream.settings.schema;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import io.lentilstream.model.KindName;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.Urgency;

/**
 * The settings of one kind of work.
 *
 * @param name the kind
 * @param urgency deferrable or batch
 * @param service the service that runs deferrable work; empty if none is set
 * @param repeatable whether work may run again after its first byte was sent
 * @param keepTime how long an answer is kept for the caller to collect
 * @param defaultSize the size of a batch task that states none
 */
public record KindSettings(KindName name, Urgency urgency, Optional<ServiceName> service, boolean repeatable,
		Duration keepTime, Resources defaultSize) {

	static KindSettings of(KindName name, SettingsReader reader) {
		String service = reader.text("service");
		return new KindSettings(name, Urgency.valueOf(reader.text("class").toUpperCase(Locale.ROOT)),
				service.isEmpty() ? Optional.empty() : Optional.of(new ServiceName(service)), reader.flag("repeatable"),
				reader.duration("keep-time"),
				new Resources(reader.number("cores"), reader.number("memory"), reader.number("accelerators")));
	}

}
