package io.lentilstream.control.api;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationTests {

	private static final QueuePolicy POLICY = new QueuePolicy(new ServiceName("press"), 0, 2, 1.5, 250);

	private final Configuration configuration = new Configuration(7,
			List.of(new QueueRoute("short", "shop.example", "/a/", POLICY),
					new QueueRoute("long", "shop.example", "/a/b/", POLICY)));

	@Test
	void theLongestPrefixSelectsTheRoute() {
		assertThat(this.configuration.findRoute("shop.example", "/a/b/c")).map(QueueRoute::queue).contains("long");
		assertThat(this.configuration.findRoute("shop.example", "/a/x")).map(QueueRoute::queue).contains("short");
	}

	@Test
	void theHostIsComparedWithoutPortAndCase() {
		assertThat(this.configuration.findRoute("Shop.Example:8080", "/a/x")).map(QueueRoute::queue).contains("short");
		assertThat(this.configuration.findRoute("other.example", "/a/x")).isEmpty();
	}

}
