package io.lentilstream.membership;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.model.Revision;
import io.lentilstream.wire.PeerMessage.Bytes;

/**
 * A revision of a settings document.
 *
 * @param key the key of the document, such as {@code /teams/bakery}
 * @param revision the revision
 * @param content the settings without the history
 */
public record SettingsDocument(StoreKey key, Revision revision, Bytes content) {
}
