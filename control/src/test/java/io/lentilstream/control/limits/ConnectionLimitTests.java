package io.lentilstream.control.limits;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionLimitTests {

	private final ConnectionLimit limit = new ConnectionLimit(3);

	private final List<String> closed = new ArrayList<>();

	@Test
	void theConnectionThatHasBeenSilentForLongestIsClosed() {
		ConnectionLimit.Connection first = open("first", true);
		open("second", true);
		open("third", true);
		this.limit.used(first);
		open("fourth", true);
		assertThat(this.closed).containsExactly("second");
	}

	@Test
	void aConnectionWhoseRequestIsHandledStaysOpen() {
		open("handling", false);
		open("second", true);
		open("third", true);
		open("fourth", true);
		assertThat(this.closed).containsExactly("second");
	}

	@Test
	void aNewConnectionIsClosedIfAllOthersAreHandled() {
		open("first", false);
		open("second", false);
		open("third", false);
		open("fourth", true);
		assertThat(this.closed).containsExactly("fourth");
	}

	@Test
	void aClosedConnectionMakesRoom() {
		ConnectionLimit.Connection first = open("first", true);
		open("second", true);
		open("third", true);
		this.limit.closed(first);
		open("fourth", true);
		assertThat(this.closed).isEmpty();
	}

	private ConnectionLimit.Connection open(String name, boolean closable) {
		ConnectionLimit.Connection connection = () -> {
			if (closable) {
				this.closed.add(name);
			}
			return closable;
		};
		this.limit.opened(connection);
		return connection;
	}

}
