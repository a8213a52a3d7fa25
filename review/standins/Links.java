import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The links between gateways, which can be cut. Each gateway listens at a port of its own for the
 * messages of the others, and sends to this port at their addresses. So a message from A to B arrives
 * at A's port of B's address, and is passed on from there to B's port.
 */
final class Links {
    private final Set<String> mCut = ConcurrentHashMap.newKeySet();

    /** Passes on the messages between all gateways; the map holds the ports by address. */
    Links(Map<String, Integer> ports) throws IOException {
        for (String from : ports.keySet()) {
            for (String to : ports.keySet()) {
                if (!from.equals(to)) {
                    relay(from, to, ports.get(from), ports.get(to));
                }
            }
        }
    }

    private void relay(String from, String to, int fromPort, int toPort) throws IOException {
        DatagramSocket socket = new DatagramSocket(fromPort, InetAddress.getByName(to));
        InetSocketAddress target = new InetSocketAddress(to, toPort);
        Http1.thread(
                () -> {
                    byte[] buffer = new byte[65_535];
                    while (true) {
                        try {
                            DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                            socket.receive(packet);
                            if (!mCut.contains(from + to)) {
                                socket.send(new DatagramPacket(buffer, packet.getLength(), target));
                            }
                        } catch (IOException e) {
                            // The gateway isn't running; its messages are lost.
                        }
                    }
                });
    }

    /** Cuts the link between two gateways both ways. */
    void cut(String a, String b) {
        mCut.add(a + b);
        mCut.add(b + a);
    }

    void heal() {
        mCut.clear();
    }
}
