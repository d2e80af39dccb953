package org.banyanhook.testbed.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.banyanhook.core.key.KeyHashes;
import org.banyanhook.daemon.BanyanhookDaemon;

/** A daemon of the fleet, in a process of its own. Safe for use by several threads. */
public final class EntryVmProcess {

    /** The key of the operator that every daemon knows. */
    public static final String OPERATOR_KEY = "operator-key";

    private final Placement placement;
    private final ChildProcess process;

    private EntryVmProcess(Placement placement, ChildProcess process) {
        this.placement = placement;
        this.process = process;
    }

    /**
     * Where a daemon runs.
     *
     * @param name the name of the entry VM
     * @param failureDomain its failure domain
     * @param callers the address for callers
     * @param peers the address for other daemons
     * @param administration the address for operators
     */
    record Placement(
            String name, FleetScenario.Domain failureDomain, String callers, String peers, String administration) {}

    static EntryVmProcess start(Placement placement, String platform, List<String> seeds, Path directory)
            throws IOException {
        Path file = directory.resolve(placement.name() + ".yaml");
        Files.writeString(file, settings(placement, platform, seeds));
        ChildProcess process = ChildProcess.start(
                BanyanhookDaemon.class,
                List.of("--settings", file.toString()),
                directory.resolve(placement.name() + ".log"));
        return new EntryVmProcess(placement, process);
    }

    /** Returns the name of the entry VM. */
    public String name() {
        return placement.name();
    }

    /** Returns the name of its failure domain. */
    public String failureDomain() {
        return placement.failureDomain().name();
    }

    /** Returns the address for callers. */
    public String callers() {
        return placement.callers();
    }

    /** Returns the address for operators. */
    public String administration() {
        return placement.administration();
    }

    /** Returns the process. */
    public ChildProcess process() {
        return process;
    }

    Placement placement() {
        return placement;
    }

    private static String settings(Placement placement, String platform, List<String> seeds) throws IOException {
        YAMLMapper mapper = new YAMLMapper();
        ObjectNode settings = mapper.createObjectNode();
        settings.put("entryVm", placement.name());
        settings.put("failureDomain", placement.failureDomain().name());
        settings.put("region", placement.failureDomain().region());
        settings.putObject("callers").put("address", placement.callers());
        ObjectNode peers = settings.putObject("peers").put("address", placement.peers());
        ArrayNode seedList = peers.putArray("seeds");
        seeds.stream().filter(seed -> !seed.equals(placement.peers())).forEach(seedList::add);
        ObjectNode administration = settings.putObject("administration").put("address", placement.administration());
        administration
                .putArray("operatorKeys")
                .addObject()
                .put("name", "testbed")
                .put("hash", KeyHashes.hash(OPERATOR_KEY))
                .put("role", "operate");
        settings.putObject("platform").put("address", platform);
        settings.putObject("log").put("format", "text").put("level", "info");
        return mapper.writeValueAsString(settings);
    }
}
