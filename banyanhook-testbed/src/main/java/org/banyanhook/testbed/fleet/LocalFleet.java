package org.banyanhook.testbed.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.io.Closer;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.testbed.http.JsonAnswer;
import org.banyanhook.testbed.http.JsonClient;
import org.banyanhook.testbed.platform.PlatformStandIn;

/**
 * A fleet of real processes on 127.0.0.1: daemons, backend servers behind fault proxies, and the platform's service.
 *
 * <p>Safe for use by several threads.
 */
public final class LocalFleet implements Closeable {

    private static final int PORTS_PER_ENTRY_VM = 3;
    private static final long POLL_MILLIS = 100;

    private final Closer closer = Closer.create();
    private final FleetScenario scenario;
    private final Path directory;
    private final JsonClient client = new JsonClient();
    private final PlatformStandIn platform = PlatformStandIn.builder().start();
    private final List<FleetMember> members = new ArrayList<>();
    private final List<EntryVmProcess> entryVms = new ArrayList<>();
    private List<String> seeds = List.of();

    private LocalFleet(FleetScenario scenario) throws IOException {
        this.scenario = scenario;
        this.directory = Files.createTempDirectory("banyanhook-fleet");
        closer.register(client::close);
        closer.register(platform::close);
    }

    /**
     * Starts a fleet and waits until every daemon serves a write on every database.
     *
     * @param scenario the sizes
     * @param entryVmsPerDomain how many daemons each failure domain has
     * @param timeoutMillis how long to wait
     * @return the running fleet
     * @throws IOException if a process does not start or the fleet does not serve in time
     * @throws InterruptedException if the thread is interrupted
     */
    public static LocalFleet start(FleetScenario scenario, int entryVmsPerDomain, long timeoutMillis)
            throws IOException, InterruptedException {
        checkArgument(entryVmsPerDomain > 0, "entryVmsPerDomain must be positive, was %s", entryVmsPerDomain);
        LocalFleet fleet = new LocalFleet(scenario);
        try {
            fleet.startMembers();
            fleet.startEntryVms(entryVmsPerDomain);
            fleet.awaitServing(timeoutMillis);
            return fleet;
        } catch (IOException | InterruptedException | RuntimeException exception) {
            fleet.close();
            throw exception;
        }
    }

    /** Returns the sizes. */
    public FleetScenario scenario() {
        return scenario;
    }

    /** Returns the directory with the settings and the output of all processes. */
    public Path directory() {
        return directory;
    }

    /** Returns a client for calls to the processes. */
    public JsonClient client() {
        return client;
    }

    /** Returns the stand-in of the platform's service. */
    public PlatformStandIn platform() {
        return platform;
    }

    /** Returns all backend servers. */
    public List<FleetMember> members() {
        return List.copyOf(members);
    }

    /** Returns the daemons. */
    public List<EntryVmProcess> entryVms() {
        return List.copyOf(entryVms);
    }

    /** Finds the member that says it is primary in the highest term, or returns empty. */
    public Optional<FleetMember> primary(String database) {
        long highestTerm = 0;
        Optional<FleetMember> result = Optional.empty();
        for (FleetMember member : members) {
            if (!member.database().equals(database) || !member.process().isRunning()) {
                continue;
            }
            JsonAnswer status = member.status(client);
            if (status.text("role").equals("primary") && status.number("term") > highestTerm) {
                highestTerm = status.number("term");
                result = Optional.of(member);
            }
        }
        return result;
    }

    /** Returns a caller with the key of one of the scenario's accounts, numbered from 0. */
    public FleetCaller caller(int accountNumber) {
        return new FleetCaller(
                client,
                scenario.service(),
                scenario.accounts().get(accountNumber).key());
    }

    /**
     * Sends a command to a daemon as an operator.
     *
     * @param entryVm the daemon
     * @param command the command
     * @return the answer, of status 0 if none came
     */
    public JsonAnswer command(EntryVmProcess entryVm, String command) {
        return client.call(
                        entryVm.administration(),
                        "POST",
                        "/v1/commands",
                        Map.of("command", command),
                        Map.of("Authorization", "Bearer " + EntryVmProcess.OPERATOR_KEY))
                .exceptionally(FleetCaller::unreachable)
                .join();
    }

    /**
     * Starts a daemon again that was ended, under its name and addresses.
     *
     * @param name the name of the entry VM
     * @return the new process
     * @throws IOException if it does not start
     */
    public EntryVmProcess restart(String name) throws IOException {
        EntryVmProcess ended = entryVms.stream()
                .filter(entryVm -> entryVm.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("there is no entry VM " + name));
        EntryVmProcess started = EntryVmProcess.start(ended.placement(), platform.address(), seeds, directory);
        closer.register(started.process());
        entryVms.set(entryVms.indexOf(ended), started);
        return started;
    }

    /** Stops all processes, daemons first. */
    @Override
    public void close() throws IOException {
        entryVms.forEach(entryVm -> entryVm.process().terminate());
        closer.close();
    }

    private void startMembers() throws IOException, InterruptedException {
        List<FleetMember.Starting> starting = new ArrayList<>();
        for (String database : scenario.databases()) {
            for (FleetScenario.Domain domain : scenario.failureDomains()) {
                starting.add(FleetMember.start(scenario, database, domain.name(), directory));
            }
        }
        for (FleetMember.Starting process : starting) {
            closer.register(process.process());
        }
        for (FleetMember.Starting process : starting) {
            FleetMember member = process.await();
            closer.register(member);
            members.add(member);
        }
        Map<String, List<BackendServer>> servers = new LinkedHashMap<>();
        members.forEach(member -> servers.computeIfAbsent(member.database(), name -> new ArrayList<>())
                .add(member.backendServer()));
        platform.store("configuration", FleetDocument.write(scenario, servers));
    }

    private void startEntryVms(int perDomain) throws IOException {
        int count = perDomain * scenario.failureDomains().size();
        List<String> addresses = FreePorts.addresses(count * PORTS_PER_ENTRY_VM);
        List<EntryVmProcess.Placement> placements = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            FleetScenario.Domain domain = scenario.failureDomains().get(number / perDomain);
            String name = domain.name() + "-" + (number % perDomain + 1);
            int port = number * PORTS_PER_ENTRY_VM;
            placements.add(new EntryVmProcess.Placement(
                    name, domain, addresses.get(port), addresses.get(port + 1), addresses.get(port + 2)));
        }
        seeds = placements.stream().map(EntryVmProcess.Placement::peers).toList();
        platform.listVirtualMachines(VirtualMachineLists.of(placements, members));
        for (EntryVmProcess.Placement placement : placements) {
            EntryVmProcess entryVm = EntryVmProcess.start(placement, platform.address(), seeds, directory);
            closer.register(entryVm.process());
            entryVms.add(entryVm);
        }
    }

    private void awaitServing(long timeoutMillis) throws IOException, InterruptedException {
        long deadline = System.currentTimeMillis() + timeoutMillis;
        for (EntryVmProcess entryVm : entryVms) {
            for (String database : scenario.databases()) {
                awaitWrite(entryVm, database, deadline);
            }
        }
    }

    private void awaitWrite(EntryVmProcess entryVm, String database, long deadline)
            throws IOException, InterruptedException {
        String lastAnswer = "none";
        while (System.currentTimeMillis() < deadline && entryVm.process().isAlive()) {
            JsonAnswer answer = caller(0)
                    .send(entryVm, FleetRequest.of(FleetRoutes.WRITE, database, "put ready yes"))
                    .exceptionally(FleetCaller::unreachable)
                    .join();
            if (answer.status() == 200) {
                return;
            }
            lastAnswer = answer.status() + " " + answer.body();
            Thread.sleep(POLL_MILLIS);
        }
        throw new IOException("entry VM " + entryVm.name() + " does not serve " + database + "; last answer "
                + lastAnswer + "; see " + directory);
    }
}
