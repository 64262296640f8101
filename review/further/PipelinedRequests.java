import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A client asks each process for the state of a job three times on one connection,
 * without waiting for the answers in between. Checks that no process ends by itself.
 * Without the trouble it waits for each answer.
 */
final class PipelinedRequests {

	private static final int REQUESTS = 3;

	private PipelinedRequests() {
	}

	public static void main(String[] arguments) {
		Harness.play(arguments, PipelinedRequests::play);
	}

	private static void play(Harness harness) throws Exception {
		harness.configure("svc", Map.of("confirm", 3));
		harness.minions.add(new Minion(harness.store, "svc", 1, "r1-1", 32_000, 128_000));
		harness.startNodes(3);
		harness.awaitLeader();
		Thread.sleep(2000);
		Jobs.Job job = Jobs.create("confirm", new Jobs.Step().size(4, 1000, 100).work(500));
		if (!harness.submit(job)) {
			harness.finish(Harness.NOT_RUN, "the job was not accepted");
		}
		Thread.sleep(1500);
		int ended = 0;
		for (Harness.Node node : harness.nodes) {
			ask(node, job);
			Thread.sleep(500);
			Record.line(node.name + (node.alive() ? " runs" : " has ended with status " + node.exitStatus()));
			ended += node.alive() ? 0 : 1;
		}
		if (ended > 0) {
			harness.finish(Harness.BROKEN, ended + " of 3 processes have ended by themselves");
		}
		harness.finish(Harness.HELD, "all processes run");
	}

	private static void ask(Harness.Node node, Jobs.Job job) throws InterruptedException {
		String request = "GET /" + job.queue + "/" + job.id + " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
		try (Socket socket = new Socket("127.0.0.1", node.front)) {
			socket.setSoTimeout(1500);
			byte[] answer = new byte[4096];
			for (int i = 0; i < REQUESTS; i++) {
				socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
				if (!Harness.TROUBLE) {
					Record.line(node.name + " answers " + socket.getInputStream().read(answer) + " bytes");
				}
			}
			Thread.sleep(300);
		}
		catch (IOException ex) {
			Record.line(node.name + ": " + ex.getMessage());
		}
	}

}
