import gts from 'gts';

export default [
  {ignores: ['build/', 'target/', 'eslint.config.js']},
  ...gts,
  {
    files: ['test/**/*.ts', 'bench/**/*.ts', 'model/**/*.ts', 'soak/**/*.ts'],
    rules: {'n/no-unpublished-import': 'off'},
  },
];
