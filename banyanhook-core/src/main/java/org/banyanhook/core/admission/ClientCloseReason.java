package org.banyanhook.core.admission;

/** Why a client connection is refused or closed by {@link ClientAdmission}. */
public enum ClientCloseReason {
    /** The clients hold more than the budget, and this connection is among the largest. */
    MEMORY(
            "the entry VM has no memory for the unfinished and waiting messages of this connection; retry after 1000 ms"),
    /** The open connections leave no descriptors. */
    CONNECTIONS("too many connections are open; retry after 1000 ms"),
    /** No first message arrived in time, while memory or connections are short. */
    FIRST_MESSAGE_LATE("the session was not opened in time; open it when the connection is made"),
    /** A message arrives more slowly than the minimum rate, while memory or connections are short. */
    MESSAGE_SLOW("the message arrived too slowly; send it faster or retry later"),
    /** The client takes nothing of an answer, while memory or connections are short. */
    ANSWER_UNREAD("the answer was not read; read answers while they arrive");

    private final String detail;

    ClientCloseReason(String detail) {
        this.detail = detail;
    }

    /** Returns the explanation for the client, with the remedy. */
    public String detail() {
        return detail;
    }
}
