package org.banyanhook.gateway.session;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.admission.ClientAdmission;
import org.banyanhook.core.admission.ClientCloseReason;
import org.banyanhook.core.admission.ConnectionLoad;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.ClientRequest;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.port.ClientInput;
import org.jspecify.annotations.Nullable;

/**
 * The requests that a client connection has sent ahead, and the bytes that it is charged for. It suspends reading while
 * too much waits. Confined to the event loop.
 */
public final class ClientConnection implements ClientInput {

    private final long number;
    private final ClientConnections owner;
    private final ClientAdmission admission;
    private final Deque<QueuedRequest> queue = new ArrayDeque<>();
    private @Nullable ChannelHandler codec;
    private @Nullable Channel channel;
    private @Nullable Runnable onResumed;
    private String account = "";
    private @Nullable String openedKey;
    private boolean closed;
    private boolean suspended;
    private boolean resumePending;
    private int unfinishedBytes;
    private int codecBytes;
    private int lastMessageBytes;
    private boolean messageStarted;
    private long messageStartNanos;
    private long connectedNanos;
    private boolean inProgress;
    private long queuedBytes;
    private long inProgressBytes;
    private long stateBytes;
    private long outboundBytes;
    private long lastTakenNanos;

    private record QueuedRequest(ClientRequest request, int bytes) {}

    ClientConnection(long number, ClientConnections owner, ClientAdmission admission) {
        this.number = number;
        this.owner = owner;
        this.admission = admission;
    }

    /** Sets the codec, whose buffers are released at once when the connection is closed by a limit. */
    public void codec(ChannelHandler clientCodec) {
        codec = clientCodec;
    }

    /** Registers the connection when it is active. */
    void attach(Channel clientChannel, Runnable resumedListener) {
        channel = clientChannel;
        onResumed = resumedListener;
        connectedNanos = owner.nowNanos();
        lastTakenNanos = connectedNanos;
        owner.add(this);
    }

    /** Removes the connection and everything that it is charged for. */
    void detach() {
        closed = true;
        channel = null;
        queue.clear();
        owner.remove(this);
    }

    long number() {
        return number;
    }

    @Nullable
    Channel channel() {
        return channel;
    }

    String account() {
        return account;
    }

    @Nullable
    String openedKey() {
        return openedKey;
    }

    /** Records that the session is opened, unless too many are open with the key; returns whether it may be. */
    boolean open(SessionAuthorization.Grant grant, String key) {
        // A key that is not granted says nothing about a caller, who could use another one for each session.
        String countedKey = grant.isRateLimited() ? key : "";
        if (closed || !owner.openSession(countedKey)) {
            return false;
        }
        openedKey = countedKey;
        account = grant.account().name();
        return true;
    }

    @Override
    public void onHeldBytes(int unfinished, int memoryBytes) {
        if (closed) {
            return;
        }
        if (unfinished > 0 && (!messageStarted || unfinishedBytes == 0)) {
            messageStartNanos = owner.nowNanos();
        }
        messageStarted = unfinished > 0;
        unfinishedBytes = unfinished;
        long change = (long) memoryBytes - codecBytes;
        codecBytes = memoryBytes;
        charge(change);
    }

    @Override
    public void onMessage(int bytes) {
        lastMessageBytes = bytes;
        messageStarted = false;
    }

    @Override
    public boolean isSuspended() {
        return suspended || closed;
    }

    /** Returns whether requests may be held by the codec while reading is suspended. */
    boolean holdsUndecoded() {
        return suspended && !closed;
    }

    /** Charges the connection for the values and prepared statements of its session; negative to take it back. */
    void chargeState(long bytes) {
        stateBytes += bytes;
        charge(bytes);
    }

    /** Adds the request that was decoded last to the queue. */
    void enqueue(ClientRequest request) {
        queue.add(new QueuedRequest(request, lastMessageBytes));
        queuedBytes += lastMessageBytes;
        charge(lastMessageBytes);
        suspendIfNeeded();
    }

    /** Returns whether no request waits in the queue. */
    boolean isQueueEmpty() {
        return queue.isEmpty();
    }

    /** Removes the next request from the queue and records that it has started; returns null if none waits. */
    @Nullable
    ClientRequest startNext() {
        QueuedRequest next = queue.poll();
        if (next == null) {
            return null;
        }
        queuedBytes -= next.bytes();
        charge(-next.bytes());
        start(next.bytes());
        return next.request();
    }

    /** Records that the request that was decoded last has started without waiting. */
    void startLast() {
        start(lastMessageBytes);
    }

    private void start(int bytes) {
        inProgress = true;
        inProgressBytes = bytes;
        chargeInProgress(admission.chargeInProgress(bytes));
        suspendIfNeeded();
    }

    /** Returns whether the memory that requests in progress hold leaves room for the one that has just started. */
    boolean mayRun() {
        return owner.mayRun(inProgressBytes);
    }

    /** Records that the request in progress has been answered. */
    void finished() {
        inProgress = false;
        chargeInProgress(-admission.chargeInProgress(inProgressBytes));
        inProgressBytes = 0;
        resumeIfPossible();
    }

    /** Updates the bytes of answers that the client has not taken. */
    void updateOutbound() {
        Channel clientChannel = channel;
        if (clientChannel == null || closed) {
            return;
        }
        ChannelOutboundBuffer buffer = clientChannel.unsafe().outboundBuffer();
        long pending = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        if (pending == outboundBytes) {
            return;
        }
        if (pending < outboundBytes || outboundBytes == 0) {
            lastTakenNanos = owner.nowNanos();
        }
        long change = pending - outboundBytes;
        outboundBytes = pending;
        charge(change);
    }

    /** Returns the bytes that closing the connection frees. */
    long heldBytes() {
        return codecBytes + queuedBytes + stateBytes + outboundBytes;
    }

    /** Returns what the request in progress is charged for. */
    long chargedInProgress() {
        return admission.chargeInProgress(inProgressBytes);
    }

    ConnectionLoad load(long nowNanos) {
        return new ConnectionLoad(
                number,
                account,
                heldBytes(),
                inProgress,
                openedKey != null,
                TimeUnit.NANOSECONDS.toMillis(nowNanos - connectedNanos),
                suspended ? 0 : unfinishedBytes,
                unfinishedBytes == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - messageStartNanos),
                outboundBytes == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - lastTakenNanos));
    }

    /** Closes the connection at once; tells the client why if none of its requests may have run without an answer. */
    void close(ClientCloseReason reason) {
        Channel clientChannel = channel;
        if (closed || clientChannel == null) {
            return;
        }
        if (!inProgress) {
            clientChannel.writeAndFlush(
                    new ClientAnswer.OpenRefused(SessionError.OVERLOADED, reason.detail()),
                    clientChannel.voidPromise());
        }
        owner.remove(this);
        closed = true;
        queue.clear();
        ChannelHandler clientCodec = codec;
        if (clientCodec != null && clientChannel.pipeline().context(clientCodec) != null) {
            // The pipeline would release the buffers only after all other connections have been read.
            clientChannel.pipeline().remove(clientCodec);
        }
        clientChannel.close();
    }

    /** What is charged after the connection has been removed would never be taken back. */
    private void charge(long bytes) {
        if (!closed) {
            owner.charge(bytes);
        }
    }

    private void chargeInProgress(long bytes) {
        if (!closed) {
            owner.chargeInProgress(bytes);
        }
    }

    private void suspendIfNeeded() {
        Channel clientChannel = channel;
        if (!suspended
                && clientChannel != null
                && admission.suspendsReading(queue.size(), queuedBytes + inProgressBytes)) {
            suspended = true;
            clientChannel.config().setAutoRead(false);
        }
    }

    private void resumeIfPossible() {
        Channel clientChannel = channel;
        if (suspended
                && !resumePending
                && clientChannel != null
                && admission.resumesReading(queue.size(), queuedBytes + inProgressBytes)) {
            resumePending = true;
            // Not at once: the session that is being called would be called again with the next request.
            clientChannel.eventLoop().execute(this::resume);
        }
    }

    private void resume() {
        resumePending = false;
        Channel clientChannel = channel;
        if (clientChannel == null || closed) {
            return;
        }
        suspended = false;
        messageStartNanos = owner.nowNanos();
        clientChannel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
        clientChannel.pipeline().fireChannelReadComplete();
        // What the codec held may have filled the queue again.
        if (!isSuspended()) {
            clientChannel.config().setAutoRead(true);
        }
        Runnable listener = onResumed;
        if (listener != null) {
            listener.run();
        }
    }
}
