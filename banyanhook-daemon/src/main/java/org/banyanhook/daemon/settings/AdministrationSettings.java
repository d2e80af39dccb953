package org.banyanhook.daemon.settings;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The port for operators.
 *
 * @param address the IP number and port to listen on; port 0 takes a free one
 * @param operatorKeys the keys that operators may use
 */
public record AdministrationSettings(String address, List<OperatorKey> operatorKeys) {
    public AdministrationSettings {
        operatorKeys = ImmutableList.copyOf(operatorKeys);
    }
}
