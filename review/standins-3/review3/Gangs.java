package review3;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The members of each run of a gang: they begin together, and break up together. */
final class Gangs {

	private final Map<String, Map<String, Minion.Life.Member>> present = new HashMap<>();

	private static String key(String task, long run) {
		return task.substring(0, task.lastIndexOf('.')) + "#" + run;
	}

	synchronized void arrived(String task, long run, int count, Minion.Life.Member member) {
		Map<String, Minion.Life.Member> members = this.present.computeIfAbsent(key(task, run),
				(key) -> new HashMap<>());
		members.put(task, member);
		if (members.size() == count) {
			List<Minion.Life.Member> all = List.copyOf(members.values());
			Minion.TIMER.execute(() -> all.forEach(Minion.Life.Member::begin));
		}
	}

	/** Handles that a member has ended; all end together if it is done. */
	synchronized void left(String task, long run, String how) {
		Map<String, Minion.Life.Member> members = this.present.get(key(task, run));
		if (members == null || members.remove(task) == null || how.equals("done") || how.equals("alone")
				|| how.equals("broken")) {
			return;
		}
		List<Minion.Life.Member> others = List.copyOf(members.values());
		Minion.TIMER.execute(() -> others.forEach(Minion.Life.Member::breakUp));
	}

}
