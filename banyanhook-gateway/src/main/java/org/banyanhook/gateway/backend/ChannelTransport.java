package org.banyanhook.gateway.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import org.banyanhook.gateway.message.MemberCommand;

/** A network connection to the member. */
final class ChannelTransport implements MemberTransport {

    private final Channel channel;

    ChannelTransport(Channel channel) {
        this.channel = channel;
    }

    @Override
    public void write(MemberCommand command) {
        channel.write(command, channel.voidPromise());
    }

    @Override
    public void flush() {
        channel.flush();
    }

    @Override
    public void reading(boolean value) {
        if (channel.config().isAutoRead() != value) {
            channel.config().setAutoRead(value);
        }
    }

    @Override
    public void close(boolean abandonsCommands) {
        if (channel.isActive()) {
            if (abandonsCommands) {
                // Resets the connection. After an orderly close the kernel would go on sending abandoned commands.
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            } else {
                write(new MemberCommand.Terminate());
                flush();
            }
        }
        channel.close();
    }
}
