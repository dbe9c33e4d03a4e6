/** Waiting for something that happens on its own. */

const checkMilliseconds = 10;
/** Far above what anything here takes, also on a busy machine: it ends a test that would wait for ever. */
const limitChecks = 3000;

/** Resolves once the condition holds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	for (let checks = 0; checks < limitChecks; checks += 1) {
		if (condition()) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, checkMilliseconds);
		});
	}

	throw new Error(`never came true: ${condition.toString()}`);
}
