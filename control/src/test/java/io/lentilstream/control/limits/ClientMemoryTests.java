package io.lentilstream.control.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ClientMemoryTests {

	private static final long MAX_BYTES = 1 << 20;

	private static final long LARGE = 200_000;

	private final ClientMemory memory = new ClientMemory(MAX_BYTES);

	private final List<String> shed = new ArrayList<>();

	@Test
	void theClientThatHoldsTheMostIsShedFirst() {
		holder("small", 1000);
		holder("largest", 600_000);
		holder("last", 500_000);
		assertThat(this.shed).containsExactly("largest");
		assertThat(this.memory.bytes()).isEqualTo(501_000);
	}

	@Test
	void ofClientsThatHoldTheSameTheOldestIsShed() {
		for (int i = 0; i < 6; i++) {
			holder("client-" + i, LARGE);
		}
		assertThat(this.shed).containsExactly("client-0");
	}

	@Test
	void aClientThatCannotBeShedDoesNotKeepOthersFromIt() {
		ClientMemory.Share busy = this.memory.open(() -> this.shed.add("busy"));
		busy.update(0, 900_000);
		holder("other", LARGE);
		assertThat(this.shed).containsExactly("busy", "other");
	}

	@Test
	void aLargeRequestIsHandledInPlaceOfWhatWaits() {
		ClientMemory.Share share = this.memory.open(() -> this.shed.add("handling"));
		holder("waiting", 900_000);
		assertThat(share.beginHandling(900_000)).isTrue();
		assertThat(this.shed).containsExactly("waiting");
	}

	@Test
	void largeRequestsLeaveHalfOfTheMemoryToOthers() {
		List<Boolean> handled = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			handled.add(this.memory.open(() -> {
			}).beginHandling(LARGE));
		}
		assertThat(handled).containsExactly(true, true, false, false);
		assertThat(this.memory.open(() -> {
		}).beginHandling(2000)).isTrue();
	}

	@Test
	void aRequestThatIsAnsweredMakesRoomForTheNextAlsoIfItsConnectionIsClosed() {
		ClientMemory.Share first = this.memory.open(() -> {
		});
		ClientMemory.Share second = this.memory.open(() -> {
		});
		assertThat(first.beginHandling(900_000)).isTrue();
		first.close();
		assertThat(second.beginHandling(900_000)).isFalse();
		first.endHandling();
		assertThat(second.beginHandling(900_000)).isTrue();
	}

	@Test
	void randomClientsStayWithinTheBoundAndLeaveNothingBehind() {
		Random random = new Random(59);
		List<ClientMemory.Share> open = new ArrayList<>();
		for (int i = 0; i < 20_000; i++) {
			if (open.isEmpty() || random.nextInt(4) == 0) {
				ClientMemory.Share[] share = new ClientMemory.Share[1];
				share[0] = this.memory.open(() -> share[0].update(10, 0));
				open.add(share[0]);
			}
			ClientMemory.Share share = open.get(random.nextInt(open.size()));
			switch (random.nextInt(4)) {
				case 0 -> share.update(10, random.nextInt(300_000));
				case 1 -> {
					share.endHandling();
					share.beginHandling(random.nextInt(600_000));
				}
				case 2 -> share.endHandling();
				default -> {
					share.endHandling();
					share.close();
					open.remove(share);
				}
			}
			assertThat(this.memory.bytes()).isBetween(0L, MAX_BYTES + 10L * open.size());
		}
		open.forEach((share) -> {
			share.endHandling();
			share.close();
		});
		assertThat(this.memory.bytes()).isZero();
	}

	private void holder(String name, long bytes) {
		ClientMemory.Share[] share = new ClientMemory.Share[1];
		share[0] = this.memory.open(() -> {
			this.shed.add(name);
			share[0].update(0, 0);
		});
		share[0].update(0, bytes);
	}

}
