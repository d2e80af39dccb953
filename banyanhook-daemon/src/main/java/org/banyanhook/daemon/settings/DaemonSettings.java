package org.banyanhook.daemon.settings;

/**
 * The settings of one daemon. Immutable.
 *
 * @param entryVm the name of this entry VM, unique in the fleet
 * @param failureDomain the failure domain of this entry VM
 * @param region the region of the failure domain
 * @param callers the settings of the port for callers
 * @param peers the settings of the port for other daemons
 * @param administration the settings of the port for operators
 * @param platform the settings of the connection to the platform's service
 * @param log the format and level of log lines
 * @param isolation the behavior while the daemon is isolated
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
