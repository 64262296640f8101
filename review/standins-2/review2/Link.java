package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The link of a machine: forwards TCP connections between loopback ports at the link's
 * bandwidth, which all its connections share in each direction. Ports that can be cut off
 * are cut off silently: bytes wait.
 */
final class Link {

	private static final int CHUNK_BYTES = 4096;

	private final Direction up;

	private final Direction down;

	private boolean cut;

	Link(double megabitsPerSecond) {
		this.up = new Direction(megabitsPerSecond);
		this.down = new Direction(megabitsPerSecond);
	}

	synchronized void setCut(boolean value) {
		this.cut = value;
		notifyAll();
	}

	private synchronized void awaitPath(boolean cuttable) throws InterruptedException {
		while (cuttable && this.cut) {
			wait();
		}
	}

	/**
	 * Opens a port whose connections lead to another port.
	 */
	int to(int target, boolean cuttable) {
		try {
			ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName(Server.HOST));
			run(() -> {
				while (true) {
					Socket near = listener.accept();
					run(() -> connect(near, target, cuttable), near);
				}
			});
			return listener.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void connect(Socket near, int target, boolean cuttable) throws IOException, InterruptedException {
		awaitPath(cuttable);
		near.setTcpNoDelay(true);
		Socket far = new Socket(Server.HOST, target);
		far.setTcpNoDelay(true);
		run(() -> copy(near, far, this.up, cuttable), near, far);
		run(() -> copy(far, near, this.down, cuttable), near, far);
	}

	private void copy(Socket from, Socket to, Direction direction, boolean cuttable)
			throws IOException, InterruptedException {
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] chunk = new byte[CHUNK_BYTES];
			int length = in.read(chunk);
			while (length >= 0) {
				direction.pass(length);
				awaitPath(cuttable);
				out.write(chunk, 0, length);
				length = in.read(chunk);
			}
		}
	}

	private static void run(Task task, Socket... sockets) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (IOException | InterruptedException ex) {
				for (Socket socket : sockets) {
					close(socket);
				}
			}
		}, "link");
		thread.setDaemon(true);
		thread.start();
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// It is closed already.
		}
	}

	private interface Task {

		void run() throws IOException, InterruptedException;

	}

	/**
	 * One direction of the link.
	 */
	private static final class Direction {

		private final double nanosPerByte;

		private long freeAt = System.nanoTime();

		Direction(double megabitsPerSecond) {
			this.nanosPerByte = 8000.0 / megabitsPerSecond;
		}

		void pass(int bytes) throws InterruptedException {
			long until;
			synchronized (this) {
				this.freeAt = Math.max(this.freeAt, System.nanoTime()) + (long) (bytes * this.nanosPerByte);
				until = this.freeAt;
			}
			long left = until - System.nanoTime();
			if (left > 0) {
				Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
			}
		}

	}

}
