package org.banyanhook.core.admission;

import com.google.common.base.Preconditions;

/**
 * The limits that protect a daemon from the clients of one port. The defaults are beyond what a client needs that sends
 * messages of at most 1 MiB, holds sessions open or reads large answers slowly.
 */
public final class ClientLimits {

    /** The descriptors for files and listening ports, which the platform counts among the process's descriptors. */
    private static final int FILE_DESCRIPTORS = 200;

    /** The descriptors for members, peers, the store and metrics, but at most a quarter of all. */
    private static final int INTERNAL_CONNECTIONS = 512;

    private final long memoryBytes;
    private final int maximumConnections;
    private final int maximumConnectionsPerKey;
    private final int maximumQueuedRequests;
    private final int maximumQueuedBytes;
    private final int receiveBufferBytes;
    private final int minimumBytesPerSecond;
    private final long graceMillis;
    private final long stallMillis;

    private ClientLimits(Builder builder) {
        this.memoryBytes = builder.memoryBytes;
        this.maximumConnections = builder.maximumConnections;
        this.maximumConnectionsPerKey = builder.maximumConnectionsPerKey;
        this.maximumQueuedRequests = builder.maximumQueuedRequests;
        this.maximumQueuedBytes = builder.maximumQueuedBytes;
        this.receiveBufferBytes = builder.receiveBufferBytes;
        this.minimumBytesPerSecond = builder.minimumBytesPerSecond;
        this.graceMillis = builder.graceMillis;
        this.stallMillis = builder.stallMillis;
    }

    /**
     * Returns a builder whose defaults follow from the machine.
     *
     * @param machineBytes the memory of the machine in bytes
     * @param heapBytes the maximum size of the heap in bytes
     * @param maximumDescriptors the number of descriptors that the process may open
     */
    public static Builder builder(long machineBytes, long heapBytes, int maximumDescriptors) {
        return new Builder(machineBytes, heapBytes, maximumDescriptors);
    }

    /** Returns how many bytes the data of all clients may hold. */
    public long memoryBytes() {
        return memoryBytes;
    }

    /** Returns how many client connections may be open. */
    public int maximumConnections() {
        return maximumConnections;
    }

    /** Returns how many sessions may be open with one key. */
    public int maximumConnectionsPerKey() {
        return maximumConnectionsPerKey;
    }

    /** Returns how many requests of a connection may wait before reading from it is suspended. */
    public int maximumQueuedRequests() {
        return maximumQueuedRequests;
    }

    /** Returns how many bytes of unanswered requests a connection may hold before reading from it is suspended. */
    public int maximumQueuedBytes() {
        return maximumQueuedBytes;
    }

    /** Returns the size of the kernel's receive buffer of a connection, in bytes. */
    public int receiveBufferBytes() {
        return receiveBufferBytes;
    }

    /** Returns the rate at which an unfinished message has to arrive under pressure, in bytes a second. */
    public int minimumBytesPerSecond() {
        return minimumBytesPerSecond;
    }

    /** Returns how long a message may take before its rate counts, and a first message to begin, in milliseconds. */
    public long graceMillis() {
        return graceMillis;
    }

    /** Returns how long a client may take nothing of an answer under pressure, in milliseconds. */
    public long stallMillis() {
        return stallMillis;
    }

    /** Builds limits. */
    public static final class Builder {
        private long memoryBytes;
        private int maximumConnections;
        private int maximumConnectionsPerKey;
        private int maximumQueuedRequests = 64;
        private int maximumQueuedBytes = 64 << 10;
        private int receiveBufferBytes = 64 << 10;
        private int minimumBytesPerSecond = 16 << 10;
        private long graceMillis = 5_000;
        private long stallMillis = 30_000;

        private Builder(long machineBytes, long heapBytes, int maximumDescriptors) {
            Preconditions.checkArgument(machineBytes > 0 && heapBytes > 0, "memory sizes must be positive");
            Preconditions.checkArgument(maximumDescriptors > 0, "descriptors must be positive");
            // Most of the budget is direct memory, beside a heap that copies of decoded messages fill. With an eighth
            // of
            // 282 MB, clients that pipelined messages of 0.95 MB brought a process with a heap of 160 MB to 275 MB.
            this.memoryBytes = Math.min(machineBytes / 12, heapBytes / 4);
            int internal = Math.min(INTERNAL_CONNECTIONS, maximumDescriptors / 4);
            this.maximumConnections = Math.max(1, maximumDescriptors - FILE_DESCRIPTORS - internal);
            this.maximumConnectionsPerKey = Math.max(1, maximumConnections / 2);
        }

        /** Sets how many bytes the data of all clients may hold. */
        public Builder memoryBytes(long value) {
            memoryBytes = checkPositive(value, "memoryBytes");
            return this;
        }

        /** Sets how many client connections may be open; sets the sessions of one key to half of them. */
        public Builder maximumConnections(int value) {
            maximumConnections = (int) checkPositive(value, "maximumConnections");
            maximumConnectionsPerKey = Math.max(1, value / 2);
            return this;
        }

        /** Sets how many sessions may be open with one key. */
        public Builder maximumConnectionsPerKey(int value) {
            maximumConnectionsPerKey = (int) checkPositive(value, "maximumConnectionsPerKey");
            return this;
        }

        /** Sets how many requests of a connection may wait. */
        public Builder maximumQueuedRequests(int value) {
            maximumQueuedRequests = (int) checkPositive(value, "maximumQueuedRequests");
            return this;
        }

        /** Sets how many bytes of unanswered requests a connection may hold. */
        public Builder maximumQueuedBytes(int value) {
            maximumQueuedBytes = (int) checkPositive(value, "maximumQueuedBytes");
            return this;
        }

        /** Sets the size of the kernel's receive buffer, in bytes. */
        public Builder receiveBufferBytes(int value) {
            receiveBufferBytes = (int) checkPositive(value, "receiveBufferBytes");
            return this;
        }

        /** Sets the minimum rate of an unfinished message under pressure, in bytes a second. */
        public Builder minimumBytesPerSecond(int value) {
            minimumBytesPerSecond = (int) checkPositive(value, "minimumBytesPerSecond");
            return this;
        }

        /** Sets how long a message may take before its rate counts, in milliseconds. */
        public Builder graceMillis(long value) {
            graceMillis = checkPositive(value, "graceMillis");
            return this;
        }

        /** Sets how long a client may take nothing of an answer under pressure, in milliseconds. */
        public Builder stallMillis(long value) {
            stallMillis = checkPositive(value, "stallMillis");
            return this;
        }

        /** Returns the limits. */
        public ClientLimits build() {
            return new ClientLimits(this);
        }

        private static long checkPositive(long value, String name) {
            Preconditions.checkArgument(value > 0, "%s must be positive, was %s", name, value);
            return value;
        }
    }
}
