/** A target driver whose answers tests control. */
import type {CancellationToken} from '../../src/base/cancellation-token.js';
import type {TaskAnswer} from '../../src/base/task-answer.js';
import type {TaskId} from '../../src/base/task-id.js';
import type {Verdict} from '../../src/base/verdict.js';
import type {TargetAddress} from '../../src/runtime/targets/target-address.js';
import {TargetDriver} from '../../src/runtime/targets/target-driver.js';
import type {TaskRequest} from '../../src/runtime/targets/task-request.js';

type Start = {readonly target: TargetAddress; readonly order: TaskRequest; readonly answer: (verdict: Verdict<TaskAnswer>) => void};

/** Records every start; a cancelled task gets the same verdict as from the real driver. */
export class FakeTargetDriver extends TargetDriver {
	readonly starts: Start[] = [];

	override async run(target: TargetAddress, order: TaskRequest, token: CancellationToken): Promise<Verdict<TaskAnswer>> {
		return new Promise(resolve => {
			token.onDidRequestCancellation(() => {
				resolve({kind: 'mayHaveRun', cause: 'stopped', detail: 'the task was stopped at the target'});
			});
			this.starts.push({target, order, answer: resolve});
		});
	}

	override async usage(): Promise<undefined> {
		return undefined;
	}

	/** The number of starts of a task. */
	startsOf(task: string): number {
		return this.starts.filter(start => start.order.taskId === task as TaskId).length;
	}

	succeed(index: number, value: string): void {
		this.starts[index]!.answer({kind: 'answered', answer: {kind: 'result', value, runMilliseconds: 50}});
	}

	fail(index: number): void {
		this.starts[index]!.answer({kind: 'answered', answer: {kind: 'failure', detail: 'out of fuel', runMilliseconds: 50}});
	}

	refuse(index: number): void {
		this.starts[index]!.answer({kind: 'notRun', cause: 'targetRefused', detail: 'no free slot'});
	}

	lose(index: number): void {
		this.starts[index]!.answer({kind: 'mayHaveRun', cause: 'connectionLost', detail: 'other side closed'});
	}
}
