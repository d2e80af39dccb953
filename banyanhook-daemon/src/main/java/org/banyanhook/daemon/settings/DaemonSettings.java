package org.banyanhook.daemon.settings;

/**
 * The settings of one daemon. Immutable.
 *
 * @param entryVm the name of this entry VM, unique in the fleet
 * @param failureDomain the failure domain that it runs in
 * @param region the region of the failure domain
 * @param callers the port for callers
 * @param peers the port for other daemons
 * @param administration the port for operators
 * @param platform the platform's service
 * @param log the form of log lines
 * @param isolation what to do while cut off
 */
public record DaemonSettings(
        String entryVm,
        String failureDomain,
        String region,
        CallerSettings callers,
        PeerSettings peers,
        AdministrationSettings administration,
        PlatformSettings platform,
        LogSettings log,
        IsolationSettings isolation) {}
