package org.banyanhook.testbed.line;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections that misbehave together: they send the same bytes, never read and stay open until the crowd is closed. A
 * gateway may refuse or close them. All loops are bounded in time.
 */
final class ClientCrowd implements AutoCloseable {

    private static final long PAUSE_MILLIS = 5;

    private final InetSocketAddress address;
    private final List<Member> members = new ArrayList<>();

    private static final class Member {
        private final SocketChannel channel;
        private final ByteBuffer opening;
        private long sent;
        private boolean ended;

        private Member(SocketChannel channel, ByteBuffer opening) {
            this.channel = channel;
            this.opening = opening;
        }
    }

    ClientCrowd(int port) {
        this.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Connects up to a number of clients within the time; fewer if the gateway doesn't accept them. */
    ClientCrowd connect(int count, Duration bound) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + bound.toNanos();
        for (int number = 0; number < count; number++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            members.add(new Member(channel, ByteBuffer.allocate(0)));
            try {
                boolean connected = channel.connect(address);
                while (!connected && System.nanoTime() < deadlineNanos) {
                    connected = channel.finishConnect();
                    Thread.sleep(connected ? 0 : 1);
                }
            } catch (IOException exception) {
                // Refused, which a gateway may do; the member counts as ended at its first byte.
                channel.close();
            }
        }
        return this;
    }

    /** Sends a text on every connection before the bytes of {@link #send}. */
    ClientCrowd open(String line, Duration bound) throws InterruptedException {
        byte[] bytes = (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        List<Member> opened = new ArrayList<>();
        for (Member member : members) {
            opened.add(new Member(member.channel, ByteBuffer.wrap(bytes)));
        }
        members.clear();
        members.addAll(opened);
        return send(new byte[] {}, 0, 1, bound);
    }

    /**
     * Sends the repeated text on every connection in turn, until all is sent, the connections are closed or the time is
     * over.
     *
     * @param text the text that is repeated
     * @param bytes the number of bytes to send on each connection
     * @param pieceBytes the size of one write
     * @param bound the time for all connections together
     */
    ClientCrowd send(byte[] text, long bytes, int pieceBytes, Duration bound) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + bound.toNanos();
        ByteBuffer piece = ByteBuffer.allocate(pieceBytes);
        members.forEach(member -> member.sent = 0);
        int unfinished = members.size();
        while (unfinished > 0 && System.nanoTime() < deadlineNanos) {
            unfinished = 0;
            boolean progress = false;
            for (Member member : members) {
                long before = member.sent;
                try {
                    advance(member, text, bytes, piece);
                } catch (IOException exception) {
                    // Closed by the gateway, as it may.
                    member.ended = true;
                }
                progress |= member.sent > before;
                unfinished += member.ended || (member.sent >= bytes && !member.opening.hasRemaining()) ? 0 : 1;
            }
            if (!progress) {
                Thread.sleep(PAUSE_MILLIS);
            }
        }
        return this;
    }

    private static void advance(Member member, byte[] text, long bytes, ByteBuffer piece) throws IOException {
        if (member.ended) {
            return;
        }
        member.channel.write(member.opening);
        if (member.opening.hasRemaining() || member.sent >= bytes) {
            return;
        }
        piece.clear();
        while (piece.hasRemaining() && member.sent + piece.position() < bytes) {
            int offset = (int) ((member.sent + piece.position()) % text.length);
            int length = Math.min(text.length - offset, piece.remaining());
            piece.put(text, offset, (int) Math.min(length, bytes - member.sent - piece.position()));
        }
        member.sent += member.channel.write(piece.flip());
    }

    @Override
    public void close() throws IOException {
        for (Member member : members) {
            member.channel.close();
        }
    }
}
