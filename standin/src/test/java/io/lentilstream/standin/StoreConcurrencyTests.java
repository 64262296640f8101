package io.lentilstream.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreClient;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WriteOutcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a write that is lost or applied twice while clients compete and replies
 * are lost.
 */
class StoreConcurrencyTests {

	private static final StoreKey LOG = new StoreKey("/log");

	private static final int CLIENTS = 6;

	private static final int APPENDS = 15;

	private final StandinFixture fixture = new StandinFixture();

	private final AtomicInteger lost = new AtomicInteger();

	@AfterEach
	void close() {
		this.fixture.close();
	}

	@Test
	void appendsEveryEntryExactlyOnce() {
		this.fixture.platform.faults().store().loseReplies(CLIENTS);
		List<CompletableFuture<Void>> clients = new ArrayList<>();
		for (int client = 0; client < CLIENTS; client++) {
			StoreClient store = this.fixture.store("client-" + client);
			int number = client;
			clients.add(CompletableFuture.runAsync(() -> appendAll(store, number)));
		}
		clients.forEach(StandinFixture::get);
		String log = new String(this.fixture.platform.storeContents().get(LOG.path()), StandardCharsets.UTF_8);
		assertThat(log.split(",")).hasSize(CLIENTS * APPENDS).doesNotHaveDuplicates();
		assertThat(this.lost).hasPositiveValue();
	}

	private void appendAll(StoreClient store, int client) {
		for (int i = 0; i < APPENDS; i++) {
			append(store, client + "-" + i);
		}
	}

	private void append(StoreClient store, String entry) {
		while (true) {
			Optional<StoredValue> current = ((ReadOutcome.Read) StandinFixture.get(store.read(LOG))).value();
			String log = current.map((value) -> new String(value.value(), StandardCharsets.UTF_8) + ",").orElse("");
			if (List.of(log.split(",")).contains(entry)) {
				return;
			}
			WriteOutcome outcome = StandinFixture.get(store.write(StoreWrite.put(LOG,
					(log + entry).getBytes(StandardCharsets.UTF_8), current.map(StoredValue::version).orElse(0L))));
			if (outcome instanceof WriteOutcome.Written) {
				return;
			}
			if (outcome instanceof WriteOutcome.ReplyLost) {
				this.lost.incrementAndGet();
			}
		}
	}

}
