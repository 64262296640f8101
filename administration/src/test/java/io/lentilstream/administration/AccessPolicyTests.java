package io.lentilstream.administration;

import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import io.lentilstream.model.TeamId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against access with an invalid or removed key, or with a key of another team.
 */
class AccessPolicyTests {

	private static final TeamId BAKERY = new TeamId("bakery");

	private final AccessKey key = AccessKey.create(BAKERY, "deploy", new Random(3));

	private final Map<String, String> values = Map.of("/teams/bakery/keys/deploy/hash", this.key.hash());

	private final AccessPolicy policy = new AccessPolicy(new AccessKey("administrator-secret"));

	@Test
	void authenticatesTheAdministratorAndTheTeam() {
		assertThat(authenticate("administrator-secret")).isEqualTo(new Access.Administrator());
		assertThat(authenticate(this.key.reveal())).isEqualTo(new Access.TeamOperator(BAKERY, "deploy"));
	}

	@Test
	void deniesAllOtherKeys() {
		String secret = this.key.reveal().substring("bakery/deploy/".length());
		for (String wrong : new String[] { "", "/", "//", "administrator-secre", "bakery/deploy/", "bakery/deploy/x",
				"bakery/other/" + secret, "cafe/deploy/" + secret, this.key.hash(), "bakery/deploy/" + this.key.hash(),
				"../deploy/" + secret, "bakery/deploy/" + secret + "/" }) {
			assertThat(authenticate(wrong)).as(wrong).isEqualTo(new Access.Denied());
		}
	}

	@Test
	void deniesAKeyWhoseHashWasRemovedOrIsDamaged() {
		assertThat(this.policy.authenticate(this.key, (team) -> Map.of())).isEqualTo(new Access.Denied());
		assertThat(this.policy.authenticate(this.key, (team) -> Map.of("/teams/bakery/keys/deploy/hash", "0")))
			.isEqualTo(new Access.Denied());
	}

	private Access authenticate(String text) {
		return this.policy.authenticate(new AccessKey(text), (team) -> team.equals(BAKERY) ? this.values : Map.of());
	}

}
