package org.banyanhook.testbed.faultproxy;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;

/** Swaps the answers of two connections. Safe for use by several threads. */
final class AnswerCrossing {

    private record Held(ProxiedConnection connection, ByteBuf data) {}

    private @Nullable Held held;

    void cross(ProxiedConnection connection, ByteBuf data) {
        Held other;
        synchronized (this) {
            other = held;
            if (other == null) {
                held = new Held(connection, data);
                return;
            }
            held = null;
        }
        other.connection().deliverCrossed(data);
        connection.deliverCrossed(other.data());
    }
}
