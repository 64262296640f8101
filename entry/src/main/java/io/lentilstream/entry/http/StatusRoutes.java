package io.lentilstream.entry.http;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.jooby.Context;
import io.jooby.Jooby;

import io.lentilstream.administration.Access;
import io.lentilstream.entry.records.RequestShardDriver;
import io.lentilstream.entry.settings.SettingsInForce;
import io.lentilstream.entry.shards.OwnedShards;
import io.lentilstream.entry.tasks.TaskShardDriver;
import io.lentilstream.membership.PeerInfo;
import io.lentilstream.model.ShardId;
import io.lentilstream.requests.PoolSnapshot;
import io.lentilstream.settings.schema.TeamSettings;
import io.lentilstream.tasks.JobView;

/**
 * HTTP routes under {@code /admin} that show the state of this entry VM and initiate its
 * graceful shutdown.
 */
public final class StatusRoutes {

	private final AdministrationAuthenticator authenticator;

	private final OwnedShards shards;

	private final SettingsInForce settings;

	private final Supplier<List<PeerInfo>> peers;

	private final Supplier<List<PoolSnapshot>> services;

	private final Runnable drain;

	/**
	 * Creates the routes.
	 * @param authenticator authenticates operators
	 * @param shards the owned shards
	 * @param settings the settings in force
	 * @param peers supplies the state of the peers
	 * @param services supplies the counts of each service
	 * @param drain initiates a graceful shutdown
	 */
	public StatusRoutes(AdministrationAuthenticator authenticator, OwnedShards shards, SettingsInForce settings,
			Supplier<List<PeerInfo>> peers, Supplier<List<PoolSnapshot>> services, Runnable drain) {
		this.authenticator = authenticator;
		this.shards = shards;
		this.settings = settings;
		this.peers = peers;
		this.services = services;
		this.drain = drain;
	}

	/**
	 * Adds the routes to the application.
	 * @param app the application
	 */
	public void install(Jooby app) {
		app.get("/admin/status", (context) -> forAdministrator(context, this::status));
		app.get("/admin/requests", this::requests);
		app.get("/admin/tasks", this::tasks);
		app.get("/admin/teams", this::teams);
		app.post("/admin/drain", (context) -> forAdministrator(context, () -> {
			this.drain.run();
			return Map.of("draining", true);
		}));
	}

	private Object forAdministrator(Context context, Supplier<Object> body) {
		if (!(this.authenticator.authenticate(context) instanceof Access.Administrator)) {
			return AdministrationAuthenticator.sendForbidden(context);
		}
		return HttpResponses.sendJson(context, 200, body.get());
	}

	private Object status() {
		Map<String, Object> status = new LinkedHashMap<>();
		status.put("workerShards", shardNames(this.shards.taskShards()));
		status.put("requestShards", shardNames(this.shards.requestShards()));
		Map<String, Object> states = new TreeMap<>();
		for (PeerInfo peer : this.peers.get()) {
			states.put(peer.vm().value(), Map.of("zone", peer.zone().value(), "state",
					peer.state().name().toLowerCase(Locale.ROOT), "shards", peer.shards().size()));
		}
		status.put("peers", states);
		return status;
	}

	private static List<String> shardNames(Map<ShardId, ?> shards) {
		return shards.keySet().stream().sorted().map(ShardId::toString).toList();
	}

	private Object requests(Context context) {
		Access caller = this.authenticator.authenticate(context);
		List<Object> visible = new ArrayList<>();
		for (PoolSnapshot service : this.services.get()) {
			if (caller.mayRead("/teams/" + service.service().team())) {
				Map<String, Object> counts = new LinkedHashMap<>();
				counts.put("service", service.service().toString());
				counts.put("slots", service.slots());
				counts.put("freeSlots", service.freeSlots());
				counts.put("inFlight", service.inFlight());
				counts.put("queued", service.queued());
				counts.put("delivered", service.delivered());
				counts.put("refused", service.refused());
				counts.put("unknown", service.unknown());
				counts.put("retried", service.retried());
				counts.put("hedged", service.hedged());
				visible.add(counts);
			}
		}
		int records = this.shards.requestShards().values().stream().mapToInt(RequestShardDriver::size).sum();
		return sendUnlessDenied(context, caller, Map.of("services", visible, "records", records));
	}

	private Object tasks(Context context) {
		Access caller = this.authenticator.authenticate(context);
		List<Object> visible = new ArrayList<>();
		for (TaskShardDriver driver : this.shards.taskShards().values()) {
			driver.shard().ifPresent((shard) -> {
				for (JobView job : shard.jobs()) {
					if (caller.mayRead("/teams/" + job.team())) {
						visible.add(Map.of("shard", shard.shard().toString(), "team", job.team().value(), "job",
								job.job().value(), "ended", job.ended(), "tasks", taskCounts(job), "problem",
								job.problem().orElse("")));
					}
				}
			});
		}
		return sendUnlessDenied(context, caller, Map.of("jobs", visible));
	}

	private static Map<String, Integer> taskCounts(JobView job) {
		Map<String, Integer> states = new TreeMap<>();
		job.tasks().forEach((state, count) -> states.put(state.name().toLowerCase(Locale.ROOT), count));
		return states;
	}

	private Object teams(Context context) {
		Access caller = this.authenticator.authenticate(context);
		Predicate<TeamSettings> mayRead = (team) -> caller.mayRead("/teams/" + team.team());
		List<Object> visible = new ArrayList<>();
		this.settings.teams()
			.stream()
			.filter(mayRead)
			.forEach((team) -> visible.add(Map.of("team", team.team().value(), "services",
					team.services().keySet().stream().map(Object::toString).toList(), "kinds",
					team.kinds().keySet().stream().map(Object::toString).toList())));
		return sendUnlessDenied(context, caller, Map.of("teams", visible));
	}

	private static Object sendUnlessDenied(Context context, Access caller, Object body) {
		if (caller instanceof Access.Denied) {
			return AdministrationAuthenticator.sendForbidden(context);
		}
		return HttpResponses.sendJson(context, 200, body);
	}

}
