package org.banyanhook.gateway.primary;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.fleet.EraCheckedStore;
import org.banyanhook.gateway.fleet.ScriptedRecordStore;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.port.PromotionAuthority;
import org.banyanhook.gateway.port.RecordStore;

/** What replaces primaries in a fleet of one daemon, before scripted members, a store and an authority. */
final class PromotionFixture implements AutoCloseable {

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedRecordStore store = new ScriptedRecordStore();
    private final ScriptedProbe members = new ScriptedProbe();
    private final List<String> requests = new ArrayList<>();
    private final List<Long> tokens = new ArrayList<>();
    private Runnable duringRequest = () -> {};
    private final PromotionVoter voter = new PromotionVoter(
            gateway.groups(), gateway.directory(), members, gateway::nowNanos, () -> true, gateway.clock());
    private final StoreEras eras = new StoreEras(gateway.log());
    private final RecordStore checkedStore = new EraCheckedStore(store, eras);
    private PromotionAuthority.Result authorityResult = PromotionAuthority.Result.ACCEPTED;

    PromotionFixture() {
        store.answerAtOnce();
    }

    GatewayFixture gateway() {
        return gateway;
    }

    ScriptedRecordStore store() {
        return store;
    }

    StoreEras eras() {
        return eras;
    }

    /** Returns the store as the components use it. */
    RecordStore checkedStore() {
        return checkedStore;
    }

    ScriptedProbe members() {
        return members;
    }

    /** Returns the members that the authority was asked to promote. */
    List<String> requests() {
        return requests;
    }

    /** Returns the fencing tokens of the requests. */
    List<Long> tokens() {
        return tokens;
    }

    /** Sets what happens while the authority handles a request. */
    void duringRequest(Runnable event) {
        duringRequest = event;
    }

    /** Sets how the authority answers from now on. */
    void authorityAnswers(PromotionAuthority.Result result) {
        authorityResult = result;
    }

    /** Creates a workflow that remembers nothing of earlier ones. */
    PromotionWorkflow newWorkflow() {
        PeerVoteExchange voteExchange = new PeerVoteExchange(
                "vm",
                new NoPeers(),
                gateway.directory(),
                gateway.recordCodec(),
                eras,
                gateway.eventLoop(),
                gateway.clock(),
                new FixedStoreProgress());
        PromotionLeases leases = new PromotionLeases(
                "vm", checkedStore, gateway.recordCodec(), gateway.directory(), gateway.clock(), gateway.log());
        eras.addListener(leases::dropAll);
        return new PromotionWorkflow(
                "vm",
                checkedStore,
                gateway.recordCodec(),
                gateway.directory(),
                eras,
                leases,
                voteExchange,
                voter,
                members,
                this::promote,
                gateway.eventLoop(),
                gateway.clock(),
                gateway.log());
    }

    /** Creates a controller that is notified of the changes of the fleet. */
    PromotionController newController() {
        PromotionController controller = new PromotionController(
                "vm",
                gateway.groups(),
                gateway.directory(),
                newWorkflow(),
                voter,
                gateway.eventLoop(),
                gateway.clock(),
                gateway.log());
        gateway.directory().addListener(controller);
        return controller;
    }

    private CompletableFuture<PromotionAuthority.Result> promote(
            String group, String member, String leaseHolder, long fencingToken) {
        requests.add(member);
        tokens.add(fencingToken);
        duringRequest.run();
        return CompletableFuture.completedFuture(authorityResult);
    }

    @Override
    public void close() {
        gateway.close();
    }
}
