package org.banyanhook.testbed.fleet;

import java.util.ArrayList;
import java.util.List;
import org.banyanhook.daemon.platform.VirtualMachine;

/** Writes the platform's list of virtual machines. */
final class VirtualMachineLists {

    private static final String LIVE = "live";

    private VirtualMachineLists() {}

    static List<VirtualMachine> of(List<EntryVmProcess.Placement> entryVms, List<FleetMember> members) {
        List<VirtualMachine> machines = new ArrayList<>();
        for (EntryVmProcess.Placement entryVm : entryVms) {
            String domain = entryVm.failureDomain().name();
            machines.add(new VirtualMachine(entryVm.name(), "entry", domain, entryVm.peers(), LIVE));
        }
        for (FleetMember member : members) {
            String address = member.proxy().address();
            machines.add(new VirtualMachine(member.name(), "backend", member.failureDomain(), address, LIVE));
        }
        return machines;
    }
}
