package io.lentilstream.wire;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.KindName;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.Revision;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.PeerMessage.Bytes;

/**
 * Holds one message of each type.
 */
final class Samples {

	static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone-a");

	private Samples() {
	}

	static List<PeerMessage> all() {
		Bytes bytes = new Bytes("content".getBytes(StandardCharsets.UTF_8));
		VmId vm = new VmId("entry-1");
		RequestId id = new RequestId("request-1");
		ShardId shard = new ShardId("zone-a", 3);
		SettingsDigest digest = new SettingsDigest(List.of(1L, -2L, 3L, 4L, 5L, 6L, 7L, Long.MIN_VALUE));
		ServiceRef service = new ServiceRef(new TeamId("bakery"), new ServiceName("bread"));
		return List.of(new PeerMessage.Hello(vm, ZONE, 7, bytes), new PeerMessage.Challenge(vm, ZONE, 7, bytes, bytes),
				new PeerMessage.Proof(bytes),
				new PeerMessage.Heartbeat(7, 8, 9, false, true, digest, Map.of(service, 5),
						Map.of(shard, new Epoch(2))),
				new PeerMessage.Document("/teams/bakery", new Revision(4), bytes),
				new PeerMessage.FetchDocuments(5, Map.of("/platform", 3L), true),
				new PeerMessage.ForwardRequest(id, service.team(), Optional.of(service.service()), Optional.empty(),
						Optional.empty(), Urgency.URGENT, true, 250, "POST", "/pickup?x=1", Map.of("Accept", "*/*"),
						bytes),
				new PeerMessage.ForwardRequest(id, service.team(), Optional.empty(),
						Optional.of(new KindName("payment")), Optional.of(new IdempotencyKey("k")), Urgency.DEFERRABLE,
						false, 250, "POST", "", Map.of(), Bytes.EMPTY),
				new PeerMessage.ForwardAnswer(id, new RequestOutcome.Answered(200, "text/plain", bytes.array())),
				new PeerMessage.ForwardAnswer(id, new RequestOutcome.Accepted(new IdempotencyKey("k"))),
				new PeerMessage.ForwardAnswer(id, new RequestOutcome.Unknown(id)),
				new PeerMessage.ForwardRefusal(id, NotRunReason.NO_ENDPOINT, 100),
				new PeerMessage.ReleaseQuery(shard, new Epoch(3)),
				new PeerMessage.ReleaseConfirmed(shard, new Epoch(3)), new PeerMessage.Goodbye(7));
	}

}
