package org.banyanhook.gateway.port;

/** What the codec of a client connection reports of the bytes it holds, and asks before it decodes further. */
public interface ClientInput {

    /** An input without limits. */
    ClientInput UNLIMITED = new ClientInput() {
        @Override
        public void onHeldBytes(int unfinishedBytes, int memoryBytes) {}

        @Override
        public void onMessage(int bytes) {}

        @Override
        public boolean isSuspended() {
            return false;
        }
    };

    /**
     * Reports what the codec holds after it has read. The connection may be closed before this returns.
     *
     * @param unfinishedBytes the bytes that are not decoded yet
     * @param memoryBytes the size of the buffers that hold them
     */
    void onHeldBytes(int unfinishedBytes, int memoryBytes);

    /**
     * Reports the size of the message that is passed on next.
     *
     * @param bytes the size of the encoded message
     */
    void onMessage(int bytes);

    /** Returns whether the codec has to keep its bytes and to decode nothing until it reads again. */
    boolean isSuspended();
}
