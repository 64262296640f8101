package io.lentilstream.requests;

import java.util.OptionalInt;

import io.lentilstream.model.EndpointId;

/**
 * Is an endpoint of a shard that this entry VM owns now.
 *
 * @param id the endpoint
 * @param service the team and service of the endpoint
 * @param slots requests that the endpoint runs at once
 * @param connections connections that the endpoint accepts
 * @param leaving whether the live list says that the endpoint leaves
 * @param inheritedInFlight requests of earlier owners that the endpoint still runs, or
 * empty while neither a handover nor the endpoint has told the count; the endpoint gets
 * no work until then
 */
public record OwnedEndpoint(EndpointId id, ServiceKey service, int slots, int connections, boolean leaving,
		OptionalInt inheritedInFlight) {
}
