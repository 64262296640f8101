package io.lentilstream.control.limits;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualEventLoop;

import static org.assertj.core.api.Assertions.assertThat;

class ClientLimitsReporterTests {

	private final ManualEventLoop loop = new ManualEventLoop();

	private final ClientLimits limits = ClientLimits.of(1 << 20, 2);

	private final List<String> lines = new ArrayList<>();

	@Test
	void aCrowdTakesOneLineASecond() {
		new ClientLimitsReporter(this.loop, (decision, subject, inputs) -> this.lines.add(Arrays.toString(inputs)),
				"edge-1", this.limits)
			.start();
		for (int i = 0; i < 5; i++) {
			int number = i;
			this.limits.connections().opened(() -> number >= 0);
			ClientMemory.Share[] share = new ClientMemory.Share[1];
			share[0] = this.limits.memory().open(() -> share[0].update(0, 0));
			share[0].update(0, 500_000);
		}
		this.loop.runFor(5000);
		assertThat(this.lines).containsExactly("[for-memory, 3, for-connections, 3, held-kb, 976]");
	}

}
