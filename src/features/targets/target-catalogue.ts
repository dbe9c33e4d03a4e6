/** Which targets there are. */
import type {Event} from '../../base/event.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {TargetRecord} from './target-record.js';

/** The latest known list; it lags behind, and stands still while its source is away. */
export abstract class TargetCatalogue {
	abstract readonly targets: ReadonlyMap<InstanceId, TargetRecord>;

	/** Fires after records came, changed or went. */
	abstract readonly onDidChange: Event<void>;
}
