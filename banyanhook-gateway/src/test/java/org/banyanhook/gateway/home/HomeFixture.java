package org.banyanhook.gateway.home;

import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;

/** A gateway with sessions, a home of the only member, and the link between them. */
public final class HomeFixture implements AutoCloseable {

    static final String CALLER = "vm";
    static final String HOME = "home";
    private static final int OTHER_DAEMONS = 6;

    private final ScriptedLink link = new ScriptedLink();
    private final GatewayFixture caller = new GatewayFixture(
            CALLER,
            (directory, eventLoop, clock) ->
                    new ConnectionHomes(CALLER, 1, link.messenger(CALLER, eventLoop), directory, eventLoop, clock));
    private final GatewayFixture home = new GatewayFixture(
            HOME,
            (directory, eventLoop, clock) ->
                    new ConnectionHomes(HOME, 2, link.messenger(HOME, eventLoop), directory, eventLoop, clock));
    private HomeLeases leases;

    /** Creates a fleet with more daemons than the member accepts connections. */
    public HomeFixture() {
        leases = serve(2);
        for (GatewayFixture gateway : new GatewayFixture[] {caller, home}) {
            gateway.listDaemon(CALLER, "west");
            gateway.listDaemon(HOME, "east");
            for (int number = 0; number < OTHER_DAEMONS; number++) {
                gateway.listDaemon("other-" + number, "west");
            }
        }
    }

    private HomeLeases serve(long incarnation) {
        HomeLeases served = new HomeLeases(
                incarnation,
                home.groups(),
                home.directory(),
                home.groupContext().primaryAccess(),
                home.eventLoop(),
                home.clock(),
                home.log(),
                home.metrics());
        served.serve(link.messenger(HOME, home.eventLoop()));
        return served;
    }

    /** Replaces the home by another run of it, which knows none of the leases. */
    void restartHome() {
        leases = serve(3);
    }

    ScriptedLink link() {
        return link;
    }

    /** Lists the primary at both daemons; returns it as the home reaches it. */
    public ScriptedMember listPrimary() {
        caller.list("primary", true);
        return home.list("primary", true);
    }

    /** Lists the primary at both daemons; its connections to either of them are those of one member. */
    public ScriptedMember listSharedPrimary() {
        ScriptedMember primary = caller.list("primary", true);
        home.share(primary);
        home.list("primary", true);
        return primary;
    }

    /** Returns the gateway that has the sessions. */
    public GatewayFixture caller() {
        return caller;
    }

    GatewayFixture home() {
        return home;
    }

    HomeLeases leases() {
        return leases;
    }

    /** Delivers one message, if there is one, and lets both daemons handle what has arrived. */
    public boolean deliver() {
        boolean delivered = link.deliver();
        advanceMillis(0);
        return delivered;
    }

    /** Delivers all messages. */
    public void deliverAll() {
        advanceMillis(0);
        while (deliver()) {
            advanceMillis(0);
        }
    }

    /** Loses all messages from now on, or carries them again. */
    public void cut(boolean value) {
        link.cut(value);
    }

    /** Lets time pass at both daemons. */
    public void advanceMillis(long millis) {
        caller.advanceMillis(millis);
        home.advanceMillis(millis);
    }

    /** Performs the periodic checks of both daemons. */
    public void tick() {
        caller.groups().tick();
        home.groups().tick();
        leases.tick();
    }

    @Override
    public void close() {
        caller.close();
        home.close();
    }
}
