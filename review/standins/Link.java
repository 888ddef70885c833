import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A network path from one controller to the peer port of another. While it is cut, it holds what is sent either way. */
final class Link {
    final int port;
    private final int target;
    private volatile boolean cut;

    Link(int target) throws IOException {
        this.target = target;
        ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        Web.run(() -> {
            while (true) {
                try {
                    Socket from = server.accept();
                    Web.run(() -> connect(from));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    void setCut(boolean on) {
        cut = on;
    }

    private void connect(Socket from) {
        try {
            awaitNoCut();
            Socket to = new Socket(InetAddress.getByName("127.0.0.1"), target);
            to.setTcpNoDelay(true);
            from.setTcpNoDelay(true);
            Web.run(() -> pump(from, to));
            pump(to, from);
        } catch (IOException e) {
            close(from);
        }
    }

    private void awaitNoCut() {
        try {
            while (cut) Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void pump(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[16 * 1024];
            while (true) {
                int length = in.read(buffer);
                awaitNoCut();
                if (length < 0) break;
                out.write(buffer, 0, length);
                out.flush();
            }
        } catch (IOException e) {
            // Either end has gone; the other is told below.
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
