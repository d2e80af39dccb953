package org.banyanhook.daemon.settings;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The settings of the port for operators.
 *
 * @param address the IP address and port to listen on; port 0 selects a free port
 * @param operatorKeys the keys of the operators
 */
public record AdministrationSettings(String address, List<OperatorKey> operatorKeys) {
    public AdministrationSettings {
        operatorKeys = ImmutableList.copyOf(operatorKeys);
    }
}
