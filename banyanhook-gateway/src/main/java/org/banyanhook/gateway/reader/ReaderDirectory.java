package org.banyanhook.gateway.reader;

import java.util.List;
import org.banyanhook.core.routing.ConnectionShare;
import org.banyanhook.core.store.StoreReaders;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.port.DaemonEntry;

/** The readers of this daemon's failure domain according to its view of the fleet. Used on the event loop only. */
final class ReaderDirectory {

    private final DaemonEntry self;
    private final FleetDirectory directory;

    ReaderDirectory(DaemonEntry self, FleetDirectory directory) {
        this.self = self;
        this.directory = directory;
    }

    /** Returns the readers; none in a fleet in which a member of each group accepts connections of all daemons. */
    List<String> readers() {
        int daemons = directory.daemonsSharingLimits();
        boolean large = directory.configuration().groups().values().stream()
                .anyMatch(limits -> ConnectionShare.fleetExceedsLimit(limits.connectionLimit(), daemons));
        return large
                ? StoreReaders.select(
                        self.failureDomain(),
                        directory.daemons().values().stream()
                                .filter(daemon -> daemon.failureDomain().equals(self.failureDomain()))
                                .map(DaemonEntry::entryVm)
                                .toList())
                : List.of();
    }

    /** Returns whether this daemon is a reader. */
    boolean isReader() {
        return readers().contains(self.entryVm());
    }

    /** Returns the address of a reader, which has an entry. */
    String addressOf(String reader) {
        DaemonEntry entry = directory.daemons().get(reader);
        if (entry == null) {
            throw new IllegalArgumentException("no entry of reader " + reader);
        }
        return entry.peerAddress();
    }
}
