package org.banyanhook.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.execution.ShutdownSchedule;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The steps of a planned stop, in virtual time. */
final class GracefulShutdownTest implements GracefulShutdown.Daemon {

    private static final long STEP_MILLIS = 10;
    private static final SessionStatement WRITE = new SessionStatement.Write("item data");

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedMember member = gateway.list("primary", true);
    private final CompletableFuture<Void> withdrawn = new CompletableFuture<>();
    private boolean withdrawalBegun;
    private boolean failWithdrawal;
    private boolean replacing;
    private boolean portClosed;
    private CompletableFuture<Void> clientPort = CompletableFuture.completedFuture(null);

    @AfterEach
    void close() {
        gateway.close();
    }

    /** The process was killed with answers outstanding, since its steps counted from when it took up the signal. */
    @Test
    void stopThatIsTakenUpLateEndsBeforeTheGracePeriodDoes() {
        EmbeddedChannel silent = openTransaction();
        long heldUpMillis = 900;
        CompletableFuture<Void> stopped = stop(heldUpMillis);
        long endMillis = heldUpMillis + millisUntil(stopped);
        assertThat(endMillis).isLessThan(GatewayFixture.GRACE_MILLIS);
        assertThat(silent.isActive()).isFalse();
    }

    /** A statement that was passed on shortly before the end was cut off without an answer. */
    @Test
    void statementThatStillRunsAtTheEndOfServiceIsAnswered() {
        EmbeddedChannel session = openTransaction();
        CompletableFuture<Void> stopped = stop(0);
        gateway.advanceMillis(GatewayFixture.GRACE_MILLIS * 5 / 6 - GatewayFixture.STATEMENT_TIMEOUT_MILLIS);
        GatewayFixture.send(session, "3", WRITE);
        gateway.advanceMillis(GatewayFixture.STATEMENT_TIMEOUT_MILLIS - STEP_MILLIS);
        assertThat(session.<Object>readOutbound()).isNull();
        millisUntil(stopped);
        ClientAnswer.Failed failed = session.readOutbound();
        assertThat(failed.error()).isEqualTo(SessionError.TRANSACTION_ABORTED);
    }

    @Test
    void processWithoutActiveSessionsEndsOnceItIsWithdrawn() {
        EmbeddedChannel idle = gateway.openSession();
        CompletableFuture<Void> stopped = stop(0);
        advance(2_100);
        assertThat(idle.isActive()).isTrue();
        assertThat(portClosed).isFalse();
        advance(300);
        assertThat(idle.isActive()).isFalse();
        assertThat(portClosed).isTrue();
        assertThat(withdrawalBegun).isTrue();
        assertThat(stopped.isDone()).isFalse();
        withdrawn.complete(null);
        advance(100);
        assertThat(stopped.isDone()).isTrue();
    }

    /** A primary that had stepped down was left without a successor until the promotion lease of the process lapsed. */
    @Test
    void replacementOfAPrimaryIsAwaitedUntilTheEndOfService() {
        replacing = true;
        CompletableFuture<Void> stopped = stop(0);
        advance(GatewayFixture.GRACE_MILLIS * 5 / 6 - STEP_MILLIS);
        assertThat(withdrawalBegun).isFalse();
        withdrawn.complete(null);
        advance(200);
        assertThat(stopped.isDone()).isTrue();
    }

    /** The end of the process overtook the last answers when the event loop was held up before the end of service. */
    @Test
    void callersAreAnsweredThoughTheEventLoopIsHeldUpUntilTheEnd() {
        EmbeddedChannel silent = openTransaction();
        CompletableFuture<Void> stopped = stop(0);
        advance(GatewayFixture.GRACE_MILLIS * 4 / 5);
        gateway.advanceMillis(GatewayFixture.GRACE_MILLIS / 8);
        assertThat(silent.isActive()).isFalse();
        advance(100);
        assertThat(stopped.isDone()).isTrue();
    }

    /** An unexpected error kept the process until it was killed. */
    @Test
    void processEndsBeforeTheGracePeriodDoesThoughAStepFails() {
        EmbeddedChannel unused = openTransaction();
        failWithdrawal = true;
        assertThat(millisUntil(stop(0))).isLessThan(GatewayFixture.GRACE_MILLIS);
    }

    /** The sessions are drained once the port is closed, which must not be awaited for ever. */
    @Test
    void callersAreAnsweredThoughThePortIsNeverClosed() {
        clientPort = new CompletableFuture<>();
        EmbeddedChannel silent = openTransaction();
        CompletableFuture<Void> stopped = stop(0);
        advance(GatewayFixture.GRACE_MILLIS * 5 / 6 - GatewayFixture.STATEMENT_TIMEOUT_MILLIS / 2);
        GatewayFixture.send(silent, "3", WRITE);
        ClientAnswer.Failed refused = silent.readOutbound();
        assertThat(refused.error()).isEqualTo(SessionError.TRANSACTION_ABORTED);
        withdrawn.complete(null);
        assertThat(millisUntil(stopped)).isLessThan(GatewayFixture.GRACE_MILLIS / 6);
        assertThat(silent.isActive()).isFalse();
    }

    @Test
    void stepsAreLoggedWithTheTimeSinceTheRequest() {
        CompletableFuture<Void> unused = stop(900);
        assertThat(gateway.logged()).contains("\"event\":\"stop\",\"sinceRequestMs\":900");
    }

    private EmbeddedChannel openTransaction() {
        EmbeddedChannel session = gateway.openSession();
        GatewayFixture.send(session, "1", new SessionStatement.Begin(false));
        GatewayFixture.send(session, "2", WRITE);
        member.answerAll();
        session.readOutbound();
        session.readOutbound();
        return session;
    }

    private CompletableFuture<Void> stop(long heldUpMillis) {
        ShutdownSchedule schedule = ShutdownSchedule.startingAt(
                gateway.nowNanos() - TimeUnit.MILLISECONDS.toNanos(heldUpMillis), GatewayFixture.GRACE_MILLIS);
        return new GracefulShutdown(
                        schedule, gateway.registry(), this, gateway.eventLoop(), gateway.clock(), gateway.log())
                .start();
    }

    @Override
    public CompletableFuture<Void> closeClientPort() {
        portClosed = true;
        return clientPort;
    }

    @Override
    public boolean isServingFleet() {
        return replacing;
    }

    @Override
    public CompletableFuture<Void> leaveFleet() {
        withdrawalBegun = true;
        if (failWithdrawal) {
            throw new IllegalStateException("expected by the test");
        }
        return withdrawn;
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            gateway.advanceMillis(STEP_MILLIS);
        }
    }

    private long millisUntil(CompletableFuture<Void> stopped) {
        long millis = 0;
        while (!stopped.isDone() && millis < 2 * GatewayFixture.GRACE_MILLIS) {
            gateway.advanceMillis(STEP_MILLIS);
            millis += STEP_MILLIS;
        }
        return millis;
    }
}
