package org.banyanhook.daemon.configuration;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.key.KeyAdmission;
import org.banyanhook.core.key.KeyPolicy;
import org.banyanhook.core.key.KeyRegistry;

/** Finds the client account of a key in the effective configuration. Safe for use by several threads. */
public final class KeyAuthenticator {

    private static final Logger LOGGER = LogManager.getLogger(KeyAuthenticator.class);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final String failureDomain;
    private final KeyPolicy policy;
    private final ContactTracker contactTracker;
    private volatile KeyRegistry registry = KeyRegistry.of(FleetConfiguration.EMPTY);
    private volatile boolean otherDomainsInService;
    private volatile KeyAdmission lastAdmission = KeyAdmission.IN_CONTACT;

    KeyAuthenticator(String failureDomain, KeyPolicy policy, ContactTracker contactTracker) {
        this.failureDomain = failureDomain;
        this.policy = policy;
        this.contactTracker = contactTracker;
    }

    /**
     * Finds the client account that a key was granted to. Must be called for every request.
     *
     * @param key the key as the caller sent it
     * @return the account
     * @throws RefusalException if the key is withdrawn or unknown, or if this failure domain is isolated and the key
     *     policy is to refuse
     */
    public ClientAccount authenticate(String key) throws RefusalException {
        KeyAdmission admission = admission();
        if (!admission.acceptsKeys()) {
            throw RefusalException.builder(RefusalKind.FAILURE_DOMAIN_ISOLATED)
                    .detail("Failure domain " + failureDomain + " does not accept keys: " + admission.reason() + ".")
                    .retryAfter(RETRY_AFTER)
                    .build();
        }
        return registry.accountOf(key);
    }

    /** Decides whether keys are accepted at present, and logs a change of the decision. */
    public KeyAdmission admission() {
        KeyAdmission admission =
                KeyAdmission.decide(policy, otherDomainsInService, contactTracker.millisSinceContact());
        if (admission != lastAdmission) {
            lastAdmission = admission;
            LOGGER.info("keys are {}: {}", admission.acceptsKeys() ? "accepted" : "refused", admission.reason());
        }
        return admission;
    }

    void update(FleetConfiguration configuration) {
        registry = KeyRegistry.of(configuration);
        otherDomainsInService = configuration.failureDomains().stream()
                .anyMatch(domain -> !domain.takenOut() && !domain.name().equals(failureDomain));
    }
}
