package io.lentilstream.standin;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.clients.VmEntry;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a list of VMs that is taken as empty when the platform did not answer,
 * and against a list without its lag.
 */
class DirectoryContractTests {

	private final StandinFixture fixture = new StandinFixture();

	private final StandinDirectory list = this.fixture.platform.faults().directory();

	@AfterEach
	void close() {
		this.fixture.close();
	}

	@Test
	void listsTheVmsOfOneZoneWithAllTheirParts() {
		assertThat(entries(StandinFixture.ZONE)).extracting(VmEntry::role)
			.containsExactly(VmEntry.Role.WORKER, VmEntry.Role.ENDPOINT);
		VmEntry worker = entries(StandinFixture.ZONE).get(0);
		assertThat(worker.capacity()).isEqualTo(new Resources(4_000, 8_000, 0));
		assertThat("http://" + worker.address()).isEqualTo(this.fixture.platform.workerUrl(StandinFixture.WORKER));
		VmEntry endpoint = entries(StandinFixture.ZONE).get(1);
		assertThat(endpoint.team()).isPresent();
		assertThat(endpoint.service()).isPresent();
		assertThat(endpoint.slots()).isEqualTo(2);
		assertThat(entries(new AvailabilityZoneId("zone-2"))).isEmpty();
	}

	@Test
	void showsChangesAfterTheLagInTheirOrder() {
		VmEntry entry = new VmEntry(new VmId("entry-1"), VmEntry.Role.ENTRY, VmEntry.Status.LIVE, StandinFixture.ZONE,
				new RackId("rack-1"), "127.0.0.1:7070", Resources.NONE, Optional.empty(), Optional.empty(), 0, 0);
		this.list.put(entry);
		this.list.markLeaving(entry.vm());
		this.fixture.pass(Duration.ofSeconds(1));
		this.list.remove(StandinFixture.WORKER);
		assertThat(entries(StandinFixture.ZONE)).hasSize(2);
		this.fixture.pass(Duration.ofSeconds(1));
		assertThat(entries(StandinFixture.ZONE)).hasSize(3);
		assertThat(entries(StandinFixture.ZONE).get(2).status()).isEqualTo(VmEntry.Status.LEAVING);
		this.fixture.pass(Duration.ofSeconds(1));
		assertThat(entries(StandinFixture.ZONE)).extracting(VmEntry::vm).doesNotContain(StandinFixture.WORKER);
	}

	@Test
	void reportsAnOutageAsNoAnswer() {
		for (OutageMode mode : new OutageMode[] { OutageMode.REFUSES, OutageMode.CLOSES }) {
			this.list.outage(mode);
			assertThat(StandinFixture.get(this.fixture.directory().list(StandinFixture.ZONE))).isEmpty();
		}
		this.list.outage(null);
		assertThat(entries(StandinFixture.ZONE)).isNotEmpty();
	}

	private List<VmEntry> entries(AvailabilityZoneId zone) {
		return StandinFixture.get(this.fixture.directory().list(zone)).orElseThrow();
	}

}
