package org.banyanhook.core.execution;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class TransactionContinuationTest {

    @Test
    void transactionContinuesWhileEverythingItReliesOnStands() {
        assertThat(TransactionContinuation.decide(true, true, 0, 10)).isEqualTo(TransactionContinuation.CONTINUES);
    }

    @Test
    void eachWithdrawalEndsIt() {
        assertThat(TransactionContinuation.decide(false, true, 0, 10)).isEqualTo(TransactionContinuation.KEY_WITHDRAWN);
        assertThat(TransactionContinuation.decide(true, false, 0, 10))
                .isEqualTo(TransactionContinuation.ENTRY_VM_STOPS);
        assertThat(TransactionContinuation.decide(true, true, 11, 10))
                .isEqualTo(TransactionContinuation.DOMAIN_TAKEN_OUT);
    }

    @Test
    void openWorkInADomainThatWasTakenOutHasALimitedTime() {
        assertThat(TransactionContinuation.decide(true, true, 10, 10)).isEqualTo(TransactionContinuation.CONTINUES);
    }
}
