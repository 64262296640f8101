package io.lentilstream.settings.schema;

import java.time.Duration;
import java.util.Locale;

import io.lentilstream.model.ServiceName;
import io.lentilstream.model.Urgency;

/**
 * The settings of one service.
 *
 * @param name the service
 * @param urgency the urgency of requests that state none
 * @param expectedTime the service time that is assumed until there are measurements
 * @param timeout the time until the deadline of requests that state none
 * @param repeatable whether a request may be retried after its first byte was sent
 * @param hedging whether a slow request may be sent to a second endpoint
 * @param spill whether requests may run in another availability zone
 * @param queueLimit the maximum number of waiting requests per entry VM
 * @param weight the weight of the service's share of the slots, relative to other
 * services of the team
 * @param retryBudgetPercent the maximum number of retries and hedged requests per 100
 * first attempts
 */
public record ServiceSettings(ServiceName name, Urgency urgency, Duration expectedTime, Duration timeout,
		boolean repeatable, boolean hedging, boolean spill, int queueLimit, int weight, int retryBudgetPercent) {

	static ServiceSettings of(ServiceName name, SettingsReader reader) {
		return new ServiceSettings(name, Urgency.valueOf(reader.text("urgency").toUpperCase(Locale.ROOT)),
				reader.duration("expected-time"), reader.duration("timeout"), reader.flag("repeatable"),
				reader.flag("hedging"), reader.flag("spill"), reader.integer("queue-limit"), reader.integer("weight"),
				reader.integer("retry-budget"));
	}

}
