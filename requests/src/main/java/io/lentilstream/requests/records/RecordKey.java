package io.lentilstream.requests.records;

import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.TeamId;

/**
 * Identifies a record. An idempotency key is unique within its team, over all kinds,
 * because an endpoint that serves several kinds sees only the key.
 *
 * @param team the team
 * @param key the idempotency key
 */
public record RecordKey(TeamId team, IdempotencyKey key) {
}
