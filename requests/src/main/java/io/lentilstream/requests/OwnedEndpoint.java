package io.lentilstream.requests;

import java.util.OptionalInt;

import io.lentilstream.model.EndpointId;

/**
 * An endpoint of a shard that this entry VM owns.
 *
 * @param id the endpoint
 * @param service the team and service of the endpoint
 * @param slots maximum of requests that the endpoint runs concurrently
 * @param connections maximum of connections that the endpoint accepts
 * @param leaving whether the live list shows the endpoint as leaving
 * @param inheritedInFlight requests of earlier owners that the endpoint still runs, or
 * empty until a handover or the endpoint itself reports the count; the endpoint gets no
 * work until then
 */
public record OwnedEndpoint(EndpointId id, ServiceKey service, int slots, int connections, boolean leaving,
		OptionalInt inheritedInFlight) {
}
